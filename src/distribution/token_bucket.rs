use crate::clock::ClockTime;

/// Limits a rate, with a burst.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    tokens: f64,
    rate: f64,
    burst: f64,
    last: ClockTime,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens a second.
    pub(crate) fn new(rate: f64, burst: f64, now: ClockTime) -> Self {
        Self {
            tokens: burst,
            rate,
            burst,
            last: now,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: f64, now: ClockTime) {
        self.refill(now);
        self.rate = rate;
    }

    pub(crate) fn take(&mut self, now: ClockTime) -> bool {
        self.refill(now);
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    fn refill(&mut self, now: ClockTime) {
        let gain = (now - self.last).as_f64() / 1_000.0 * self.rate;
        self.tokens = (self.tokens + gain).min(self.burst);
        self.last = self.last.max(now);
    }
}
