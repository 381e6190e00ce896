use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Fraction of the allowance that is spent. The rest compensates for nodes counting their windows
/// independently.
const SAFETY_FACTOR: f64 = 0.8;

/// Retries that a node may send to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The node's share of the retries allowed regardless of the number of requests.
    pub slack: f64,
    /// Fraction of the node's requests that are nested calls of retried requests, and so count as
    /// retries.
    pub nested_share: f64,
}

/// Limit on the retries and hedges of requests to one service.
///
/// All nodes together may send `ratio` retries per request plus `slack` in any window. Each node
/// keeps to the ratio of its own requests and to its share of the slack, so that no coordination is
/// needed.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    window: ClockTime,
    requests: VecDeque<ClockTime>,
    retries: VecDeque<ClockTime>,
}

impl ServiceRetryBudget {
    /// Creates a budget over a sliding window.
    #[must_use]
    pub fn new(window: ClockTime) -> Self {
        Self {
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request received from a client.
    pub fn record_request(&mut self, now: ClockTime) {
        self.evict_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry; returns false if the budget is exhausted.
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
