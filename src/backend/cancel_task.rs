use std::cell::RefCell;

use futures_channel::mpsc;
use futures_util::stream::StreamExt;
use monoio::task::JoinHandle;

use crate::backend::HttpClient;
use crate::clock::ClockTime;

/// Maximum number of queued cancellations. Further ones are dropped, because the deadline ends the
/// request in any case.
const MAX_QUEUED_CANCELLATIONS: usize = 1024;
/// Maximum number of cancellations sent concurrently.
const MAX_CONCURRENT_CANCELLATIONS: usize = 8;
/// Time to send one cancellation and receive its response.
const CANCELLATION_TIMEOUT: ClockTime = ClockTime(1_000);

/// Background task that sends cancellations to the backend server.
pub(crate) struct CancelTask {
    sender: RefCell<mpsc::Sender<String>>,
    handle: RefCell<Option<JoinHandle<()>>>,
}

impl CancelTask {
    /// Starts the task; requires a running monoio runtime.
    pub(crate) fn start(client: HttpClient) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CANCELLATIONS);
        let handle = monoio::spawn(async move {
            let client = &client;
            receiver
                .for_each_concurrent(MAX_CONCURRENT_CANCELLATIONS, |id: String| async move {
                    let path = format!("/cancel/{id}");
                    match client.send("POST", &path, CANCELLATION_TIMEOUT).await {
                        Ok(Ok(_)) => {}
                        Ok(Err(error)) => log::debug!("cannot cancel request {id}: {error}"),
                        Err(error) => log::warn!("cannot cancel request {id}: {error}"),
                    }
                })
                .await;
        });
        Self {
            sender: RefCell::new(sender),
            handle: RefCell::new(Some(handle)),
        }
    }

    /// Returns a guard that cancels the request when it is dropped, unless it is disarmed.
    pub(crate) fn guard(&self, id: String) -> CancelGuard<'_> {
        CancelGuard {
            task: self,
            id: Some(id),
        }
    }

    /// Sends the queued cancellations and joins the task.
    pub(crate) async fn close(&self) {
        self.sender.borrow_mut().close_channel();
        let handle = self.handle.borrow_mut().take();
        if let Some(handle) = handle {
            handle.await;
        }
    }
}

/// Guard that cancels one request at the backend server when it is dropped.
pub(crate) struct CancelGuard<'a> {
    task: &'a CancelTask,
    id: Option<String>,
}

impl CancelGuard<'_> {
    /// Drops the guard without a cancellation.
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
            log::warn!("cancellation dropped: {error}");
        }
    }
}
