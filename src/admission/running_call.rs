use crate::admission::AdmissionRequest;
use crate::clock::ClockTime;

/// Holds a ticket that has a slot.
#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) ticket: AdmissionRequest,
    pub(super) started: ClockTime,
}

impl RunningCall {
    pub(super) fn new(ticket: AdmissionRequest, started: ClockTime) -> Self {
        Self { ticket, started }
    }

    /// Returns the time for which the slot is still held, in ms.
    pub(super) fn rest_ms(&self, now: ClockTime, expected_ms: f64) -> f64 {
        (expected_ms - (now - self.started).as_f64()).max(0.0)
    }
}
