use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Part of the allowance that a node spends on its own account. The rest covers the repeats that
/// nested calls of repeated work cause at other services.
const OWN_PART: f64 = 0.6;

/// Limits how often requests of one service are sent to a further endpoint.
///
/// All nodes together may send `ratio` repeats per request and `slack` more in any window; each
/// node keeps to the ratio of its own requests and to its share of the slack.
#[derive(Debug)]
pub struct RepeatBudget {
    window: ClockTime,
    requests: VecDeque<ClockTime>,
    repeats: VecDeque<ClockTime>,
}

impl RepeatBudget {
    /// Creates a budget over a sliding window.
    #[must_use]
    pub fn new(window: ClockTime) -> Self {
        Self {
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Records a request that a client sent.
    pub fn record(&mut self, now: ClockTime) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; returns false if the budget is spent.
    pub fn take(&mut self, now: ClockTime, ratio: f64, slack: f64) -> bool {
        self.trim(now);
        let allowed = OWN_PART * (ratio * self.requests.len() as f64 + slack);
        if (self.repeats.len() as f64) + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn trim(&mut self, now: ClockTime) {
        let start = now - self.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}
