use std::collections::BTreeMap;

use crate::clock::ClockTime;

/// Time after which half of the counts is forgotten, in ms.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Requests of a priority from which its share is judged.
const MIN_ASKED_COUNT: f64 = 5.0;
/// Share of the served requests, relative to that of all requests, below which a priority starves.
const STARVED_RATIO: f64 = 0.3;

#[derive(Debug, Clone, Copy, Default)]
struct PriorityCounts {
    asked: f64,
    served: f64,
}

/// Recent counts of the requests of each priority, so that none is turned away all the time.
#[derive(Debug, Default)]
pub struct StarvationGuard {
    counts: BTreeMap<u8, PriorityCounts>,
    updated_at: ClockTime,
}

impl StarvationGuard {
    /// Creates a guard without counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that asks for a slot.
    pub fn record_asked(&mut self, now: ClockTime, priority: u8) {
        self.decay(now);
        self.counts.entry(priority).or_default().asked += 1.0;
    }

    /// Counts a request that was given a slot.
    pub fn record_served(&mut self, now: ClockTime, priority: u8) {
        self.decay(now);
        self.counts.entry(priority).or_default().served += 1.0;
    }

    /// Returns whether requests of a priority are served so much less often than all requests that they
    /// come first.
    #[must_use]
    pub fn is_starved(&self, priority: u8) -> bool {
        let Some(own) = self.counts.get(&priority) else {
            return false;
        };
        let asked: f64 = self.counts.values().map(|counts| counts.asked).sum();
        let served: f64 = self.counts.values().map(|counts| counts.served).sum();
        own.asked >= MIN_ASKED_COUNT && own.served * asked < own.asked * served * STARVED_RATIO
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = 0.5f64.powf((now - self.updated_at).as_f64() / HALF_LIFE_MS);
        for counts in self.counts.values_mut() {
            counts.asked *= factor;
            counts.served *= factor;
        }
        self.updated_at = now;
    }
}
