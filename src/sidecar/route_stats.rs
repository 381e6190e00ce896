use std::collections::HashMap;

use crate::clock::ClockTime;

/// Minimum weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Number of mean absolute deviations above the mean at which a response counts as slow. For a
/// normal distribution, 2.5 correspond to about the 98th percentile.
const SLOW_DEVIATION_COUNT: f64 = 2.5;

/// Moving averages of one route, in ms.
#[derive(Debug, Clone, Copy, Default)]
struct RouteLatency {
    samples: u32,
    processing_ms: f64,
    total_ms: f64,
    deviation_ms: f64,
}

/// Statistics about the duration of the requests of each route.
#[derive(Debug, Default)]
pub(crate) struct RouteStats {
    routes: HashMap<String, RouteLatency>,
}

impl RouteStats {
    /// Records the processing time at the endpoint and the total time of an attempt, in ms.
    pub(crate) fn record(&mut self, route: &str, processing_ms: f64, total_ms: f64) {
        let latency = match self.routes.get_mut(route) {
            Some(latency) => latency,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        latency.samples = latency.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(latency.samples));
        latency.processing_ms += weight * (processing_ms - latency.processing_ms);
        latency.total_ms += weight * (total_ms - latency.total_ms);
        latency.deviation_ms +=
            weight * ((total_ms - latency.total_ms).abs() - latency.deviation_ms);
    }

    /// Returns the mean processing time of the route's requests in ms.
    pub(crate) fn processing_ms(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|latency| latency.processing_ms)
    }

    /// Returns the time after which a response is slow for its route.
    pub(crate) fn slow_threshold(&self, route: &str, objective: ClockTime) -> ClockTime {
        let floor = objective.as_f64() / 2.0;
        let slow = self.routes.get(route).map_or(floor, |latency| {
            latency.total_ms + SLOW_DEVIATION_COUNT * latency.deviation_ms
        });
        ClockTime(slow.max(floor) as u64)
    }
}
