use crate::clock::ClockTime;

/// Number of doublings of the time for which a node whose read failed asks other nodes instead.
const MAX_BACKOFF_DOUBLING_COUNT: u32 = 3;
/// Mean number of nodes of a region that read the registry for others while its readers fail.
const SUBSTITUTE_COUNT: f64 = 2.0;
/// Refresh intervals for which such a node reads the registry.
const SUBSTITUTE_INTERVALS: u64 = 6;

/// Decides whether a node reads the registry itself or learns from other nodes.
///
/// A reader whose read fails learns from others for a time that doubles with each failure. A node
/// that had to read the registry because no other source was fresher goes on reading for a while,
/// with a probability that leaves a few such nodes in each region.
#[derive(Debug, Clone, Default)]
pub struct ReaderState {
    failures: u32,
    backoff_until: ClockTime,
    substitute_until: ClockTime,
}

impl ReaderState {
    /// Creates the state of a node that has not read the registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the node reads the registry now. `is_reader` tells whether it is a root of
    /// the distribution trees.
    #[must_use]
    pub fn reads_registry(&self, now: ClockTime, is_reader: bool) -> bool {
        (is_reader || now < self.substitute_until) && now >= self.backoff_until
    }

    /// Returns for how long the node still learns from others because its own reads failed.
    #[must_use]
    pub fn paused_for(&self, now: ClockTime) -> ClockTime {
        self.backoff_until - now
    }

    /// Records a successful read.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a successful read by a node that usually learns from others, because none of these
    /// was fresher; `chance` is a random number from 0 to 1, and 0 for a node that always goes on.
    pub fn record_backup_read(
        &mut self,
        now: ClockTime,
        interval: ClockTime,
        region_size: usize,
        chance: f64,
    ) {
        if chance * (region_size as f64) < SUBSTITUTE_COUNT {
            self.substitute_until = now + ClockTime(interval.0 * SUBSTITUTE_INTERVALS);
        }
    }

    /// Records a failed read.
    pub fn record_failure(&mut self, now: ClockTime, interval: ClockTime) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLING_COUNT);
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + ClockTime(interval.0 << doublings);
    }
}
