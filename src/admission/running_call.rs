use crate::admission::AdmissionRequest;
use crate::clock::ClockTime;

/// Call that holds a slot.
#[derive(Debug)]
pub(super) struct RunningCall {
    pub(super) request: AdmissionRequest,
    pub(super) started: ClockTime,
}

impl RunningCall {
    pub(super) fn new(request: AdmissionRequest, started: ClockTime) -> Self {
        Self { request, started }
    }

    /// Returns the expected remaining slot time in ms.
    pub(super) fn remaining_ms(&self, now: ClockTime, expected_ms: f64) -> f64 {
        (expected_ms - (now - self.started).as_f64()).max(0.0)
    }
}
