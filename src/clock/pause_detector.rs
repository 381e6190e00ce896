use crate::clock::ClockTime;

/// Detector of process pauses, based on gaps between readings of a monotonic clock.
///
/// Each action that depends on state received from other nodes must call [`PauseDetector::observe`]
/// first, because after a resume other tasks may run before the periodic one.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    last: ClockTime,
    limit: ClockTime,
}

impl PauseDetector {
    /// Creates a detector that reports gaps longer than `limit`.
    #[must_use]
    pub fn new(now: ClockTime, limit: ClockTime) -> Self {
        Self { last: now, limit }
    }

    /// Records a clock reading. Returns the gap since the previous one if it exceeds the limit.
    pub fn observe(&mut self, now: ClockTime) -> Option<ClockTime> {
        let gap = now - self.last;
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
