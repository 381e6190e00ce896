use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::clock::ClockTime;
use crate::error::ResultCode;

/// Number of buckets that a window is divided into. Totals have a resolution of one bucket.
const BUCKET_COUNT: u64 = 60;

/// Counts of good and bad calls over a sliding window.
#[derive(Debug, Clone)]
pub struct CallWindow {
    bucket_width_ms: u64,
    buckets: VecDeque<(u64, WindowTotal)>,
}

/// Call counts of a window.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WindowTotal {
    /// All calls.
    pub calls: u64,
    /// Bad calls by result code. `Ok` counts responses with a status of 500 or above.
    pub bad: BTreeMap<ResultCode, u64>,
}

impl WindowTotal {
    /// Returns the number of bad calls.
    #[must_use]
    pub fn bad_calls(&self) -> u64 {
        self.bad.values().sum()
    }

    /// Returns the ratio of bad calls to all calls, or 0 if there are no calls.
    #[must_use]
    pub fn bad_ratio(&self) -> f64 {
        if self.calls == 0 {
            return 0.0;
        }
        self.bad_calls() as f64 / self.calls as f64
    }

    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        for (code, count) in &other.bad {
            *self.bad.entry(*code).or_default() += count;
        }
    }
}

impl CallWindow {
    /// Creates an empty window of the given length.
    #[must_use]
    pub fn new(window: ClockTime) -> Self {
        Self {
            bucket_width_ms: (window.0 / BUCKET_COUNT).max(1),
            buckets: VecDeque::new(),
        }
    }

    /// Counts one call. `bad` is the result code of a bad call.
    pub fn record(&mut self, now: ClockTime, bad: Option<ResultCode>) {
        let index = now.0 / self.bucket_width_ms;
        if self.buckets.back().is_none_or(|(last, _)| *last < index) {
            self.buckets.push_back((index, WindowTotal::default()));
            while self
                .buckets
                .front()
                .is_some_and(|(first, _)| first + BUCKET_COUNT <= index)
            {
                self.buckets.pop_front();
            }
        }
        if let Some((_, total)) = self.buckets.back_mut() {
            total.calls += 1;
            if let Some(code) = bad {
                *total.bad.entry(code).or_default() += 1;
            }
        }
    }

    /// Returns the counts for the window that ends at `now`.
    #[must_use]
    pub fn total(&self, now: ClockTime) -> WindowTotal {
        let index = now.0 / self.bucket_width_ms;
        let mut window_total = WindowTotal::default();
        for (_, total) in self
            .buckets
            .iter()
            .filter(|(first, _)| first + BUCKET_COUNT > index)
        {
            window_total.add(total);
        }
        window_total
    }
}
