use crate::clock::ClockTime;

/// What is known of an endpoint's temperature.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdPhase {
    /// The endpoint takes any number of requests per second.
    Warm,
    /// The endpoint is cold.
    Cold,
    /// The endpoint may be cold; a health response tells.
    Suspected,
}

/// Knowledge of whether an endpoint is cold.
///
/// Only the endpoint's own health response proves it. Other signs, such as a refused connection or the
/// registry entry of a new incarnation, raise a suspicion, which a probe settles.
#[derive(Debug, Clone)]
pub struct ColdState {
    cold_until: ClockTime,
    suspected_until: Option<ClockTime>,
}

impl ColdState {
    /// Creates the state of an endpoint of which nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self {
            cold_until: ClockTime(0),
            suspected_until: Some(ClockTime(u64::MAX)),
        }
    }

    /// Returns the phase. A suspicion takes precedence, because the endpoint may have started anew.
    #[must_use]
    pub fn phase(&self, now: ClockTime) -> ColdPhase {
        if self.suspected_until.is_some_and(|until| now < until) {
            ColdPhase::Suspected
        } else if now < self.cold_until {
            ColdPhase::Cold
        } else {
            ColdPhase::Warm
        }
    }

    /// Records a sign that the endpoint may have become cold; it stays so for `cold_start` at most.
    ///
    /// Returns true if it was not suspected before.
    pub fn suspect(&mut self, now: ClockTime, cold_start: ClockTime) -> bool {
        let is_new = self.phase(now) != ColdPhase::Suspected;
        self.suspected_until = Some(now + cold_start);
        is_new
    }

    /// Records the remaining cold time in a health response.
    pub fn record_health(&mut self, now: ClockTime, remaining: ClockTime) {
        self.suspected_until = None;
        self.cold_until = now + remaining;
    }
}

impl Default for ColdState {
    fn default() -> Self {
        Self::new()
    }
}
