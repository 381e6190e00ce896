use std::collections::HashMap;

use crate::clock::ClockTime;

/// Maximum number of tracked events; at the limit, a new event discards all entries.
const MAX_EVENTS: usize = 1_024;

/// Rate limiter that admits each log event once per interval and counts the suppressed repetitions.
///
/// It prevents an outage from logging one line per failed call.
#[derive(Debug)]
pub struct LogRateLimiter {
    interval: ClockTime,
    events: HashMap<String, (ClockTime, u64)>,
}

impl LogRateLimiter {
    /// Creates a rate limiter that admits each event once per `interval`.
    #[must_use]
    pub fn new(interval: ClockTime) -> Self {
        Self {
            interval,
            events: HashMap::new(),
        }
    }

    /// Returns the number of repetitions suppressed since the last admission, or `None` if the
    /// event must not be logged now.
    pub fn admit(&mut self, event: &str, now: ClockTime) -> Option<u64> {
        if let Some((last, suppressed)) = self.events.get_mut(event) {
            if now - *last < self.interval {
                *suppressed += 1;
                return None;
            }
            *last = now;
            return Some(std::mem::take(suppressed));
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.clear();
        }
        self.events.insert(event.to_owned(), (now, 0));
        Some(0)
    }
}
