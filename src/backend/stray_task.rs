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

/// Is dropped when the work of a request has ended at the backend server.
pub type WorkGuard = Rc<dyn Any>;

/// Time after its deadline for which an answer that nobody waits for is awaited.
const STRAY_LIMIT: ClockTime = ClockTime(1_000);

/// Reads the answers to requests that were given up, from a task of its own.
///
/// The backend server works until it has seen a cancellation or the deadline, and its answer shows
/// when it has.
pub(crate) struct StrayTask {
    sender: mpsc::UnboundedSender<LocalBoxFuture<'static, ()>>,
    handle: RefCell<Option<JoinHandle<()>>>,
}

impl StrayTask {
    /// Starts the task; needs a running monoio runtime.
    pub(crate) fn start() -> Self {
        let (sender, receiver) = mpsc::unbounded::<LocalBoxFuture<'static, ()>>();
        let handle = monoio::spawn(receiver.for_each_concurrent(None, |stray| stray));
        Self {
            sender,
            handle: RefCell::new(Some(handle)),
        }
    }

    /// Makes an exchange go on when it is dropped before its end; `left` is the time to its
    /// deadline.
    pub(crate) fn guard<Exchange>(
        &self,
        exchange: Exchange,
        left: ClockTime,
        hold: WorkGuard,
    ) -> StrayGuard<'_, Exchange::Output>
    where
        Exchange: Future + 'static,
    {
        StrayGuard {
            task: self,
            parts: Some((exchange.boxed_local(), hold)),
            limit: left + STRAY_LIMIT,
        }
    }

    /// Awaits what is left and joins the task.
    pub(crate) async fn close(&self) {
        self.sender.close_channel();
        let handle = self.handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.await;
        }
    }
}

/// Runs one exchange; hands it to the task if it is dropped before its end.
pub(crate) struct StrayGuard<'a, Output: 'static> {
    task: &'a StrayTask,
    parts: Option<(LocalBoxFuture<'static, Output>, WorkGuard)>,
    limit: ClockTime,
}

impl<Output> Future for StrayGuard<'_, Output> {
    type Output = Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Output> {
        let Some((exchange, _)) = &mut self.parts else {
            return Poll::Pending;
        };
        let polled = exchange.as_mut().poll(context);
        if polled.is_ready() {
            self.parts = None;
        }
        polled
    }
}

impl<Output> Drop for StrayGuard<'_, Output> {
    fn drop(&mut self) {
        let Some((exchange, hold)) = self.parts.take() else {
            return;
        };
        let limit = self.limit.to_duration();
        let stray = async move {
            let _ = time::timeout(limit, exchange).await;
            drop(hold);
        };
        // Without the task, the process ends.
        let _ = self.task.sender.unbounded_send(stray.boxed_local());
    }
}
