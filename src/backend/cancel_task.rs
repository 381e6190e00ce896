use std::cell::RefCell;

use futures_channel::mpsc;
use futures_util::stream::StreamExt;
use monoio::task::JoinHandle;

use crate::backend::HttpClient;
use crate::clock::ClockTime;

/// Cancellations that may wait; further ones are left out, because the deadline ends the work.
const QUEUE_LIMIT: usize = 1024;
/// Cancellations sent at once.
const SEND_LIMIT: usize = 8;
/// Time for one cancellation.
const SEND_TIMEOUT: ClockTime = ClockTime(1_000);

/// Sends cancellations to the backend server from a task of its own.
pub(crate) struct CancelTask {
    sender: RefCell<mpsc::Sender<String>>,
    handle: RefCell<Option<JoinHandle<()>>>,
}

impl CancelTask {
    /// Starts the task; needs a running monoio runtime.
    pub(crate) fn start(client: HttpClient) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_LIMIT);
        let handle = monoio::spawn(async move {
            let client = &client;
            receiver
                .for_each_concurrent(SEND_LIMIT, |id: String| async move {
                    let path = format!("/cancel/{id}");
                    match client.send("POST", &path, SEND_TIMEOUT).await {
                        Ok(Ok(_)) => {}
                        Ok(Err(error)) => log::debug!("cancellation of {id} not sent: {error}"),
                        Err(error) => log::warn!("cancellation of {id} not sent: {error}"),
                    }
                })
                .await;
        });
        Self {
            sender: RefCell::new(sender),
            handle: RefCell::new(Some(handle)),
        }
    }

    /// Returns a guard that cancels the request unless it is disarmed.
    pub(crate) fn guard(&self, id: String) -> CancelGuard<'_> {
        CancelGuard {
            task: self,
            id: Some(id),
        }
    }

    /// Sends what waits and joins the task.
    pub(crate) async fn close(&self) {
        self.sender.borrow_mut().close_channel();
        let handle = self.handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.await;
        }
    }
}

/// Cancels one request at the backend server when it is dropped.
pub(crate) struct CancelGuard<'a> {
    task: &'a CancelTask,
    id: Option<String>,
}

impl CancelGuard<'_> {
    /// Ends the guard without a cancellation.
    pub(crate) fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else {
            return;
        };
        if let Err(error) = self.task.sender.borrow_mut().try_send(id) {
            log::warn!("cancellation left out: {error}");
        }
    }
}
