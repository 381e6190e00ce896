use crate::clock::ClockTime;

/// Size from which a body is worth a round trip.
const MIN_BODY_BYTES: usize = 1_024;
/// Time after a refusal during which an endpoint is taken to be busy.
const BUSY_TIME: ClockTime = ClockTime(2_000);

/// What a node knows when it decides whether to send a body at once.
///
/// It answers the load of a service without room, whose callers are refused: in calm, the body goes with the
/// head; when the endpoint is busy, it waits until the request has a slot.
#[derive(Debug, Clone, Copy)]
pub struct HoldPolicy {
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Whether the endpoint is in another zone.
    pub is_remote: bool,
    /// Expected wait for a slot.
    pub expected_wait: ClockTime,
    /// Time since the endpoint last refused a request for lack of a slot.
    pub since_refusal: Option<ClockTime>,
}

impl HoldPolicy {
    /// Returns true if the body is to be sent only when the request has a slot.
    #[must_use]
    pub fn holds(&self) -> bool {
        let was_refused = self.since_refusal.is_some_and(|time| time < BUSY_TIME);
        let is_busy = was_refused || self.expected_wait > ClockTime(0);
        self.is_remote && self.body_bytes >= MIN_BODY_BYTES && is_busy
    }
}
