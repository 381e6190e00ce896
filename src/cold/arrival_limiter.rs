use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Span in which the requests are counted: one second, and a margin for requests that arrive at the
/// endpoint closer together than they were sent.
const WINDOW: ClockTime = ClockTime(1_050);

/// Limit on the requests that are sent to an endpoint within any one second.
///
/// It answers the load of a fleet whose endpoints are all cold and whose callers ask for more than they
/// tolerate. All sends are recorded, also while the endpoint is warm, because it may become cold at any
/// moment.
#[derive(Debug)]
pub struct ArrivalLimiter {
    limit: usize,
    /// Times of the last sends, at most as many as the limit.
    sends: VecDeque<ClockTime>,
}

impl ArrivalLimiter {
    /// Creates a limiter of a process that started at `start` and does not know what the process before
    /// it has sent.
    #[must_use]
    pub fn new(start: ClockTime, limit: usize) -> Self {
        let mut limiter = Self {
            limit: 0,
            sends: VecDeque::new(),
        };
        limiter.sends.push_back(start);
        limiter.set_limit(limit);
        limiter
    }

    /// Returns the number of requests that may be sent within one second, which is at least one.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Sets the number of requests that may be sent within one second.
    ///
    /// If it grows, sends that are no longer known are taken to have been sent with the first one that is.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.max(1);
        let first = self.sends.front().copied().unwrap_or_default();
        while self.sends.len() < self.limit {
            self.sends.push_front(first);
        }
        while self.sends.len() > self.limit {
            self.sends.pop_front();
        }
    }

    /// Returns the earliest time at which another request may be sent.
    #[must_use]
    pub fn opens_at(&self) -> ClockTime {
        let first = self.sends.front().copied().unwrap_or_default();
        first + WINDOW
    }

    /// Records that a request is sent.
    pub fn record_send(&mut self, now: ClockTime) {
        self.sends.pop_front();
        self.sends.push_back(now);
    }
}
