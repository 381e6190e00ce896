use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Part of the allowance that is spent; the rest covers that nodes count their windows apart.
const SAFETY_FACTOR: f64 = 0.8;

/// States what a node may spend on repeats of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// The node's share of the repeats that are allowed in addition.
    pub slack: f64,
    /// Part of the node's requests that are nested calls of repeated work, and thus repeats.
    pub nested_share: f64,
}

/// Limits how often requests of one service are sent to a further endpoint.
///
/// All nodes together may send `ratio` repeats per request and `slack` more in any window; each
/// node keeps to the ratio of its own requests and to its share of the slack.
#[derive(Debug)]
pub struct RetryBudget {
    window: ClockTime,
    requests: VecDeque<ClockTime>,
    retries: VecDeque<ClockTime>,
}

impl RetryBudget {
    /// Creates a budget over a sliding window.
    #[must_use]
    pub fn new(window: ClockTime) -> Self {
        Self {
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request that a client sent.
    pub fn record_request(&mut self, now: ClockTime) {
        self.evict_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat; returns false if the budget is spent.
    pub fn try_take(&mut self, now: ClockTime, allowance: RetryAllowance) -> bool {
        self.evict_expired(now);
        let requests = self.requests.len() as f64;
        let allowed = SAFETY_FACTOR * (allowance.ratio * requests + allowance.slack);
        let spent = self.retries.len() as f64 + allowance.nested_share * requests;
        if spent + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn evict_expired(&mut self, now: ClockTime) {
        let start = now - self.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}
