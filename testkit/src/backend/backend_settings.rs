use crate::backend::{NestedCallRule, ServiceTimeRule};

/// Settings of an emulated backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Instance name, included in every response.
    pub name: String,
    /// Maximum number of concurrently executing requests.
    pub slots: usize,
    /// Mean service times; the rule with the longest matching prefix applies.
    pub service_times: Vec<ServiceTimeRule>,
    /// Calls made before the service time; the rule with the longest matching prefix applies.
    pub nested_calls: Vec<NestedCallRule>,
    /// Maximum deviation of a service time from its mean, as a fraction of the mean.
    pub spread: f64,
    /// Seed of the random service time deviations.
    pub seed: u64,
    /// Delay in ms of the values reported by `/load`.
    pub load_lag_ms: u64,
    /// Duration in ms of the cold phase after the start, in which requests take longer.
    pub cold_ms: u64,
    /// Factor applied to service times in the cold phase.
    pub cold_factor: f64,
    /// Duration in ms after the start during which `/health` reports `starting`.
    pub starting_ms: u64,
    /// Number of padding bytes in each response.
    pub padding_bytes: usize,
}

impl BackendSettings {
    /// Returns the mean service time of a path in ms, or 1 if no rule matches.
    #[must_use]
    pub fn mean_service_time_ms(&self, path: &str) -> f64 {
        let matching = self
            .service_times
            .iter()
            .filter(|rule| path.starts_with(&rule.prefix));
        let rule = matching.max_by_key(|rule| rule.prefix.len());
        rule.map_or(1.0, |rule| rule.time_ms)
    }

    /// Returns the nested call that a request for the path makes.
    #[must_use]
    pub fn nested_call(&self, path: &str) -> Option<&NestedCallRule> {
        let matching = self
            .nested_calls
            .iter()
            .filter(|rule| path.starts_with(&rule.prefix));
        matching.max_by_key(|rule| rule.prefix.len())
    }
}
