use crate::clock::ClockTime;
use crate::rate_limit::RequestRate;

/// Time whose requests may start at once after a pause.
const BURST_MS: f64 = 250.0;
/// Longest time between two requests. An endpoint that accepts hardly any request is still asked, since
/// only its responses tell that it accepts more again.
const MAX_INTERVAL_MS: f64 = 5_000.0;

/// Pacing of requests to a rate, by the generic cell rate algorithm.
///
/// In any span of `T` ms it lets at most `rate x (T + 250) / 1,000` requests start, or `rate x T / 1,000 + 1`
/// if that is more.
#[derive(Debug, Clone)]
pub struct RatePacer {
    interval_ms: f64,
    /// Time at which the next request would start if all of them were evenly spaced.
    next_ms: f64,
}

impl RatePacer {
    /// Creates a pacer without saved-up requests: the first one may start after one interval.
    #[must_use]
    pub fn new(now: ClockTime, rate: RequestRate) -> Self {
        let interval_ms = interval_ms(rate);
        let mut pacer = Self {
            interval_ms,
            next_ms: 0.0,
        };
        pacer.next_ms = pacer.latest_next_ms(now);
        pacer
    }

    /// Changes the rate. The wait for the next request is at most that of a new pacer.
    pub fn set_rate(&mut self, now: ClockTime, rate: RequestRate) {
        self.interval_ms = interval_ms(rate);
        self.next_ms = self.next_ms.min(self.latest_next_ms(now));
    }

    /// Returns the rate in requests per second, which is positive.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        1_000.0 / self.interval_ms
    }

    /// Returns the earliest time at which another request may start.
    #[must_use]
    pub fn opens_at(&self) -> ClockTime {
        ClockTime((self.next_ms - self.tolerance_ms()).max(0.0).ceil() as u64)
    }

    /// Records that a request starts.
    pub fn record_send(&mut self, now: ClockTime) {
        self.next_ms = self.next_ms.max(now.as_f64()) + self.interval_ms;
    }

    fn tolerance_ms(&self) -> f64 {
        (BURST_MS - self.interval_ms).max(0.0)
    }

    fn latest_next_ms(&self, now: ClockTime) -> f64 {
        now.as_f64() + self.interval_ms + self.tolerance_ms()
    }
}

fn interval_ms(rate: RequestRate) -> f64 {
    (1_000.0 / rate.per_second()).min(MAX_INTERVAL_MS)
}
