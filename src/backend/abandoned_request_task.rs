use std::any::Any;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_channel::mpsc;
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::StreamExt;
use monoio::task::JoinHandle;
use monoio::time;

use crate::clock::ClockTime;

/// Guard that is dropped when a request has ended at the backend server.
pub type WorkGuard = Rc<dyn Any>;

/// Time after the deadline of an abandoned request for which its response is awaited.
const RESPONSE_GRACE: ClockTime = ClockTime(1_000);

/// Background task that receives the responses to abandoned requests.
///
/// The backend server runs a request until it observes a cancellation or the deadline; its response
/// shows when the request has ended.
pub(crate) struct AbandonedRequestTask {
    sender: mpsc::UnboundedSender<LocalBoxFuture<'static, ()>>,
    handle: RefCell<Option<JoinHandle<()>>>,
}

impl AbandonedRequestTask {
    /// Starts the task; requires a running monoio runtime.
    pub(crate) fn start() -> Self {
        let (sender, receiver) = mpsc::unbounded::<LocalBoxFuture<'static, ()>>();
        let handle = monoio::spawn(receiver.for_each_concurrent(None, |exchange| exchange));
        Self {
            sender,
            handle: RefCell::new(Some(handle)),
        }
    }

    /// Wraps an exchange so that the task completes it if it is dropped early.
    ///
    /// `remaining` is the time to the deadline of the request.
    pub(crate) fn guard<Exchange>(
        &self,
        exchange: Exchange,
        remaining: ClockTime,
        work_guard: WorkGuard,
    ) -> AbandonedRequestGuard<'_, Exchange::Output>
    where
        Exchange: Future + 'static,
    {
        AbandonedRequestGuard {
            task: self,
            parts: Some((exchange.boxed_local(), work_guard)),
            timeout: remaining + RESPONSE_GRACE,
        }
    }

    /// Waits for the remaining exchanges and joins the task.
    pub(crate) async fn close(&self) {
        self.sender.close_channel();
        let handle = self.handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.await;
        }
    }
}

/// Future of one exchange that passes it to the task if it is dropped before it completes.
pub(crate) struct AbandonedRequestGuard<'a, Output: 'static> {
    task: &'a AbandonedRequestTask,
    parts: Option<(LocalBoxFuture<'static, Output>, WorkGuard)>,
    timeout: ClockTime,
}

impl<Output> Future for AbandonedRequestGuard<'_, Output> {
    type Output = Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Output> {
        let Some((exchange, _)) = &mut self.parts else {
            return Poll::Pending;
        };
        let poll = exchange.as_mut().poll(context);
        if poll.is_ready() {
            self.parts = None;
        }
        poll
    }
}

impl<Output> Drop for AbandonedRequestGuard<'_, Output> {
    fn drop(&mut self) {
        let Some((exchange, work_guard)) = self.parts.take() else {
            return;
        };
        let timeout = self.timeout.to_duration();
        let abandoned = async move {
            let _ = time::timeout(timeout, exchange).await;
            drop(work_guard);
        };
        // The send fails only after the task has been closed, when the process is ending.
        let _ = self.task.sender.unbounded_send(abandoned.boxed_local());
    }
}
