use crate::clock::ClockTime;

/// A token bucket rate limiter.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    tokens: f64,
    rate: f64,
    burst: f64,
    last_refill: ClockTime,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens per second.
    pub(crate) fn new(rate: f64, burst: f64, now: ClockTime) -> Self {
        Self {
            tokens: burst,
            rate,
            burst,
            last_refill: now,
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
        let added = (now - self.last_refill).as_f64() / 1_000.0 * self.rate;
        self.tokens = (self.tokens + added).min(self.burst);
        self.last_refill = self.last_refill.max(now);
    }
}
