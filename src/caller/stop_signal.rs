use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// Tells every connection of a server that the server stops.
///
/// Clones share one signal, which is given when the sender sends or is dropped.
#[derive(Debug, Clone)]
pub struct StopSignal(Shared<oneshot::Receiver<()>>);

impl StopSignal {
    /// Creates a signal and its sender.
    #[must_use]
    pub fn new() -> (oneshot::Sender<()>, Self) {
        let (sender, receiver) = oneshot::channel();
        (sender, Self(receiver.shared()))
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        let _ = self.0.clone().await;
    }

    /// Returns true once the signal was given.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.0.clone().now_or_never().is_some()
    }
}
