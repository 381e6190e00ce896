use crate::clock::ClockTime;

/// Time after which half of the counts is forgotten, in ms.
const HALF_LIFE_MS: f64 = 1_500.0;
/// Requests from which the share is judged.
const MIN_ASKED_COUNT: f64 = 3.0;

/// How scarce an endpoint is for requests that may be served in few regions.
///
/// It answers the load of a region that alone may serve some requests while others, which may be served
/// elsewhere, take its slots: the others learn with each response how many of the first are turned away,
/// and go to another region.
#[derive(Debug, Clone, Default)]
pub struct ScarcityMeter {
    asked: f64,
    refused: f64,
    updated_at: ClockTime,
}

impl ScarcityMeter {
    /// Creates a meter without counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that may be served in few regions.
    pub fn record(&mut self, now: ClockTime, is_refused: bool) {
        let factor = self.decay(now);
        self.asked = self.asked * factor + 1.0;
        self.refused = self.refused * factor + f64::from(u8::from(is_refused));
        self.updated_at = now;
    }

    /// Returns the recent share of these requests that was refused, from 0 to 1.
    #[must_use]
    pub fn scarcity(&self, now: ClockTime) -> f64 {
        if self.asked * self.decay(now) < MIN_ASKED_COUNT {
            return 0.0;
        }
        self.refused / self.asked
    }

    fn decay(&self, now: ClockTime) -> f64 {
        0.5f64.powf((now - self.updated_at).as_f64() / HALF_LIFE_MS)
    }
}
