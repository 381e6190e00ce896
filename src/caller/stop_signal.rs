use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// Signal that tells the connections and tasks of a server to stop.
///
/// Clones share one signal, which is triggered when its sender sends or is dropped.
#[derive(Debug, Clone)]
pub struct StopSignal(Shared<oneshot::Receiver<()>>);

impl StopSignal {
    /// Creates a signal and the sender that triggers it.
    #[must_use]
    pub fn new() -> (oneshot::Sender<()>, Self) {
        let (sender, receiver) = oneshot::channel();
        (sender, Self(receiver.shared()))
    }

    /// Waits until the signal is triggered.
    pub async fn wait(&self) {
        let _ = self.0.clone().await;
    }

    /// Returns whether the signal has been triggered.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.0.clone().now_or_never().is_some()
    }
}
