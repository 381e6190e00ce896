use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Limit on the handshakes accepted within any period of one second.
#[derive(Debug)]
pub(crate) struct HandshakeRateLimiter {
    accepted_at: VecDeque<ClockTime>,
    max_per_second: usize,
}

impl HandshakeRateLimiter {
    pub(crate) fn new(max_per_second: usize) -> Self {
        Self {
            accepted_at: VecDeque::with_capacity(max_per_second),
            max_per_second,
        }
    }

    /// Returns whether a handshake may be accepted at `now`, and records it if so.
    pub(crate) fn admit(&mut self, now: ClockTime) -> bool {
        if self.accepted_at.len() >= self.max_per_second {
            let oldest = self.accepted_at.front().copied().unwrap_or_default();
            if now < oldest + ClockTime(1_000) {
                return false;
            }
            self.accepted_at.pop_front();
        }
        self.accepted_at.push_back(now);
        true
    }
}
