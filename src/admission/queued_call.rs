use crate::admission::AdmissionRequest;
use crate::clock::ClockTime;

/// Smallest share of slack left that counts, which bounds the urgency at 50.
const SLACK_FLOOR: f64 = 0.02;

/// Holds a ticket that waits.
#[derive(Debug)]
pub(super) struct QueuedCall {
    pub(super) ticket: AdmissionRequest,
    pub(super) arrived: ClockTime,
}

impl QueuedCall {
    pub(super) fn new(ticket: AdmissionRequest, arrived: ClockTime) -> Self {
        Self { ticket, arrived }
    }

    /// Returns the rank: weight per expected slot time, raised as the slack is used up.
    ///
    /// The raise keeps work of low value per slot time from starving behind a stream of better
    /// work: it runs just before it would have to be dropped.
    pub(super) fn rank(&self, now: ClockTime, expected_ms: f64) -> f64 {
        let slack = (self.ticket.deadline - self.arrived).as_f64() - expected_ms;
        let left = slack - (now - self.arrived).as_f64();
        let share = (left / slack.max(1.0)).clamp(SLACK_FLOOR, 1.0);
        f64::from(self.ticket.weight.max(1)) / expected_ms.max(0.1) / share
    }
}
