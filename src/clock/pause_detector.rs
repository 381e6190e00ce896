use crate::clock::ClockTime;

/// Detects that the process was paused, from the gap between two readings of the monotonic clock.
///
/// Each action that depends on held state calls [`PauseDetector::observe`] first, because after a
/// resume other tasks may run before the one that ticks.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    last: ClockTime,
    limit: ClockTime,
}

impl PauseDetector {
    /// Creates a guard that reports gaps longer than `limit`.
    #[must_use]
    pub fn new(now: ClockTime, limit: ClockTime) -> Self {
        Self { last: now, limit }
    }

    /// Records a reading and returns the gap since the last one if it exceeds the limit.
    pub fn observe(&mut self, now: ClockTime) -> Option<ClockTime> {
        let gap = now - self.last;
        self.last = now;
        (gap > self.limit).then_some(gap)
    }
}
