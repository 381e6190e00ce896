use std::collections::HashMap;

use crate::clock::ClockTime;

/// Keys remembered; beyond it the gate forgets all of them.
const MAX_KEYS: usize = 1_024;

/// Lets an event be logged once in an interval and counts the repetitions in between.
///
/// Without it an outage would log one line per failed call.
#[derive(Debug)]
pub struct LogRateLimiter {
    interval: ClockTime,
    events: HashMap<String, (ClockTime, u64)>,
}

impl LogRateLimiter {
    /// Creates a gate that lets each event through once in `interval`.
    #[must_use]
    pub fn new(interval: ClockTime) -> Self {
        Self {
            interval,
            events: HashMap::new(),
        }
    }

    /// Returns the number of suppressed repetitions if the event is to be logged now.
    pub fn admit(&mut self, event: &str, now: ClockTime) -> Option<u64> {
        if let Some((last, suppressed)) = self.events.get_mut(event) {
            if now - *last < self.interval {
                *suppressed += 1;
                return None;
            }
            *last = now;
            return Some(std::mem::take(suppressed));
        }
        if self.events.len() >= MAX_KEYS {
            self.events.clear();
        }
        self.events.insert(event.to_owned(), (now, 0));
        Some(0)
    }
}
