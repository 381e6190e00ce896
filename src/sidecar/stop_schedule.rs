use crate::clock::ClockTime;

/// Interval of the platform's readiness checks.
const READY_CHECK_INTERVAL: ClockTime = ClockTime(1_000);
/// Failed readiness checks after which the platform routes no more clients to the node.
const READY_FAILURE_LIMIT: u64 = 2;
/// Time for the last of these checks to arrive.
const READY_CHECK_MARGIN: ClockTime = ClockTime(500);
/// Divisor of the grace time that gives the length of its last part, within which the platform
/// accepts that work is broken off.
const LAST_PART_DIVISOR: u64 = 6;

/// Times of a planned stop.
///
/// The platform routes clients to the node until its readiness checks have failed, so requests
/// still arrive for a part of the grace time. Work that was accepted runs until the middle of the
/// last part of the grace time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time until which the platform may route clients to the node.
    pub accepts_until: ClockTime,
    /// Time by which the node answers all requests.
    pub answers_by: ClockTime,
    /// Time at which the process ends.
    pub ends_at: ClockTime,
}

/// A request that is about to start while the node stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateRequest {
    /// Time after which the caller no longer waits for the response.
    pub deadline: ClockTime,
    /// Expected time until the response, with a margin.
    pub expected: ClockTime,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

impl StopSchedule {
    /// Creates the schedule of a stop that began at `started_at` and must end within `grace`.
    #[must_use]
    pub fn new(started_at: ClockTime, grace: ClockTime) -> Self {
        let detection =
            ClockTime(READY_CHECK_INTERVAL.0 * READY_FAILURE_LIMIT) + READY_CHECK_MARGIN;
        let last_part = ClockTime(grace.0 / LAST_PART_DIVISOR);
        let answers_by = started_at + grace - ClockTime(last_part.0 / 2);
        Self {
            accepts_until: started_at + detection.min(ClockTime((answers_by - started_at).0 / 2)),
            answers_by,
            ends_at: started_at + grace - ClockTime(last_part.0 / 4),
        }
    }

    /// Returns whether a request that starts now can be answered before the process ends.
    ///
    /// Only the deadline bounds the time of a request for certain. The expected time suffices for a
    /// request that may run again, as long as a refused client would be routed back to this node.
    #[must_use]
    pub fn admits(&self, now: ClockTime, request: &LateRequest) -> bool {
        let is_bounded = now < self.answers_by && request.deadline <= self.answers_by;
        let is_expected = now < self.accepts_until && now + request.expected <= self.answers_by;
        is_bounded || (request.is_idempotent && is_expected)
    }
}
