use std::collections::HashMap;

use crate::clock::ClockTime;

/// Weight of the newest sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Mean deviations above the mean at which an answer counts as slow; for a normal distribution
/// 2.5 of them are about the 98th percentile.
const SLOW_DEVIATIONS: f64 = 2.5;

#[derive(Debug, Clone, Copy, Default)]
struct RouteTimes {
    samples: u32,
    work: f64,
    total: f64,
    deviation: f64,
}

/// Learns how long the requests of each route take.
#[derive(Debug, Default)]
pub(crate) struct RouteStats {
    times: HashMap<String, RouteTimes>,
}

impl RouteStats {
    /// Records one answer: the endpoint's work and the whole attempt, in ms.
    pub(crate) fn record(&mut self, route: &str, work: f64, total: f64) {
        let times = match self.times.get_mut(route) {
            Some(times) => times,
            None => self.times.entry(route.to_owned()).or_default(),
        };
        times.samples = times.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(times.samples));
        times.work += weight * (work - times.work);
        times.total += weight * (total - times.total);
        times.deviation += weight * ((total - times.total).abs() - times.deviation);
    }

    /// Returns the mean work of the route's requests in ms.
    pub(crate) fn work(&self, route: &str) -> Option<f64> {
        self.times.get(route).map(|times| times.work)
    }

    /// Returns the time after which an answer is slow for its route.
    pub(crate) fn slow_after(&self, route: &str, objective: ClockTime) -> ClockTime {
        let floor = objective.as_f64() / 2.0;
        let slow = self.times.get(route).map_or(floor, |times| {
            times.total + SLOW_DEVIATIONS * times.deviation
        });
        ClockTime(slow.max(floor) as u64)
    }
}
