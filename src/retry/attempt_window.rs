use crate::clock::ClockTime;

/// Number of buckets, each of 1 s.
const BUCKET_COUNT: usize = 10;

/// Counts of calls and extra attempts over the last 10 s.
#[derive(Debug, Default)]
pub(super) struct AttemptWindow {
    buckets: [(u64, u64); BUCKET_COUNT],
    second: u64,
}

impl AttemptWindow {
    /// Adds calls and extra attempts at `now`.
    pub(super) fn add(&mut self, now: ClockTime, calls: u64, extras: u64) {
        self.advance(now);
        let bucket = &mut self.buckets[self.second as usize % BUCKET_COUNT];
        bucket.0 += calls;
        bucket.1 += extras;
    }

    /// Returns the numbers of calls and extra attempts in the window.
    pub(super) fn totals(&mut self, now: ClockTime) -> (u64, u64) {
        self.advance(now);
        let sum = |(calls, extras), (call, extra): &(u64, u64)| (calls + call, extras + extra);
        self.buckets.iter().fold((0, 0), sum)
    }

    fn advance(&mut self, now: ClockTime) {
        let second = now.0 / 1_000;
        let passed = second.saturating_sub(self.second).min(BUCKET_COUNT as u64);
        for step in 0..passed {
            self.buckets[(second - step) as usize % BUCKET_COUNT] = (0, 0);
        }
        self.second = self.second.max(second);
    }
}
