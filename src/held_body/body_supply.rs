use bytes::Bytes;
use futures_channel::oneshot;
use monoio::time;

use crate::clock::ClockTime;

/// Time for a body to arrive after it was asked for. The request holds a slot meanwhile.
pub(crate) const FETCH_TIMEOUT: ClockTime = ClockTime(1_000);

/// The body of a forwarded request.
pub(crate) enum RequestBody {
    /// The whole body.
    Ready(Bytes),
    /// A body that the sender still holds.
    Held(HeldBody),
}

/// A body that the sender still holds.
pub(crate) struct HeldBody {
    want: oneshot::Sender<()>,
    body: oneshot::Receiver<Bytes>,
}

/// The other side of a held body, which asks the sender for it.
pub(crate) struct BodySupply {
    pub(crate) wanted: oneshot::Receiver<()>,
    pub(crate) provide: oneshot::Sender<Bytes>,
}

impl HeldBody {
    /// Creates a held body and its supply.
    pub(crate) fn new() -> (Self, BodySupply) {
        let (want, wanted) = oneshot::channel();
        let (provide, body) = oneshot::channel();
        (Self { want, body }, BodySupply { wanted, provide })
    }

    /// Asks for the body and waits for it; returns `None` if it does not arrive in time.
    pub(crate) async fn fetch(self) -> Option<Bytes> {
        self.want.send(()).ok()?;
        let fetched = time::timeout(FETCH_TIMEOUT.to_duration(), self.body).await;
        fetched.ok()?.ok()
    }
}
