use std::cell::RefCell;
use std::future::{self, Future};
use std::task::Poll;

use futures_channel::mpsc;
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::task::JoinHandle;

/// A set of background tasks that are joined together.
///
/// All tasks are polled by a single runtime task, so that dropping a join handle cannot detach one.
pub(crate) struct TaskGroup {
    sender: RefCell<Option<mpsc::UnboundedSender<LocalBoxFuture<'static, ()>>>>,
    handle: RefCell<Option<JoinHandle<()>>>,
}

impl TaskGroup {
    /// Creates an empty group. Must be called within a running monoio runtime.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = mpsc::unbounded();
        Self {
            sender: RefCell::new(Some(sender)),
            handle: RefCell::new(Some(monoio::spawn(drive(receiver)))),
        }
    }

    /// Spawns a task. Returns false if the group is closed.
    pub(crate) fn spawn<Task>(&self, task: Task) -> bool
    where
        Task: Future<Output = ()> + 'static,
    {
        self.sender
            .borrow()
            .as_ref()
            .is_some_and(|sender| sender.unbounded_send(task.boxed_local()).is_ok())
    }

    /// Closes the group to new tasks and waits for the running ones to complete.
    pub(crate) async fn join(&self) {
        self.sender.borrow_mut().take();
        let handle = self.handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.await;
        }
    }
}

async fn drive(mut receiver: mpsc::UnboundedReceiver<LocalBoxFuture<'static, ()>>) {
    let mut tasks = FuturesUnordered::new();
    let mut open = true;
    future::poll_fn(|context| {
        while open {
            match receiver.poll_next_unpin(context) {
                Poll::Ready(Some(task)) => tasks.push(task),
                Poll::Ready(None) => open = false,
                Poll::Pending => break,
            }
        }
        while let Poll::Ready(Some(())) = tasks.poll_next_unpin(context) {}
        if !open && tasks.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}
