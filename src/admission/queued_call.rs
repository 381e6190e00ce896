use crate::admission::AdmissionRequest;
use crate::clock::ClockTime;

/// Minimum share of the slack; limits the factor by which the rank rises to 50.
const MIN_SLACK_SHARE: f64 = 0.02;

/// Call that waits for a slot.
#[derive(Debug)]
pub(super) struct QueuedCall {
    pub(super) request: AdmissionRequest,
    pub(super) arrived: ClockTime,
}

impl QueuedCall {
    pub(super) fn new(request: AdmissionRequest, arrived: ClockTime) -> Self {
        Self { request, arrived }
    }

    /// Returns the rank: weight per expected slot time, divided by the share of the slack that is
    /// left.
    ///
    /// The rising rank prevents starvation of calls with a low weight per slot time: they run
    /// shortly before they would have to be dropped.
    pub(super) fn rank(&self, now: ClockTime, expected_ms: f64) -> f64 {
        let slack = (self.request.deadline - self.arrived).as_f64() - expected_ms;
        let left = slack - (now - self.arrived).as_f64();
        let share = (left / slack.max(1.0)).clamp(MIN_SLACK_SHARE, 1.0);
        f64::from(self.request.weight.max(1)) / expected_ms.max(0.1) / share
    }
}
