use crate::clock::ClockTime;

/// Weight of the newest sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Limits on a sample, so that a single very long request does not count as a slow endpoint.
const SAMPLE_RATIO_RANGE: (f64, f64) = (0.2, 5.0);
/// Time after which half of the difference from the usual speed is forgotten, in ms, if nothing runs. An
/// endpoint that was slow is then tried again.
const HALF_LIFE_MS: f64 = 4_000.0;

/// How much longer the local endpoint takes than the mean endpoint of its service.
///
/// It answers the load of a service whose endpoints differ in speed or slow down for a time. The node beside
/// the endpoint sees all requests, so it knows sooner than the nodes that send them, and tells it with each
/// response.
#[derive(Debug, Clone)]
pub struct EndpointSpeed {
    slowness: f64,
    recorded_at: ClockTime,
}

impl EndpointSpeed {
    /// Creates the speed of an endpoint of which nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slowness: 1.0,
            recorded_at: ClockTime(0),
        }
    }

    /// Records a request that took `worked` where the mean endpoint takes `expected`.
    pub fn record(&mut self, now: ClockTime, expected: ClockTime, worked: ClockTime) {
        if expected == ClockTime(0) {
            return;
        }
        let ratio = worked.as_f64() / expected.as_f64();
        let ratio = ratio.clamp(SAMPLE_RATIO_RANGE.0, SAMPLE_RATIO_RANGE.1);
        let slowness = self.slowness(now);
        self.slowness = slowness + SAMPLE_WEIGHT * (ratio - slowness);
        self.recorded_at = now;
    }

    /// Returns the ratio of the time that the endpoint takes to that of the mean endpoint.
    #[must_use]
    pub fn slowness(&self, now: ClockTime) -> f64 {
        let age = (now - self.recorded_at).as_f64();
        1.0 + (self.slowness - 1.0) * 0.5f64.powf(age / HALF_LIFE_MS)
    }
}

impl Default for EndpointSpeed {
    fn default() -> Self {
        Self::new()
    }
}
