use std::collections::VecDeque;

use crate::clock::ClockTime;

/// Limits the accepted handshakes in any second.
#[derive(Debug)]
pub(crate) struct HandshakeLimit {
    times: VecDeque<ClockTime>,
    count: usize,
}

impl HandshakeLimit {
    pub(crate) fn new(count: usize) -> Self {
        Self {
            times: VecDeque::with_capacity(count),
            count,
        }
    }

    /// Records a handshake and returns true if it may be accepted at `now`.
    pub(crate) fn admit(&mut self, now: ClockTime) -> bool {
        if self.times.len() >= self.count {
            let oldest = self.times.front().copied().unwrap_or_default();
            if now < oldest + ClockTime(1_000) {
                return false;
            }
            self.times.pop_front();
        }
        self.times.push_back(now);
        true
    }
}
