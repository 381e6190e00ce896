use crate::backend::{NestedCallRule, ServiceTimeRule};

/// Holds the settings of a backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Instance name, part of every answer.
    pub name: String,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Service times; the longest matching prefix wins.
    pub work: Vec<ServiceTimeRule>,
    /// Calls that work makes first; the longest matching prefix wins.
    pub nests: Vec<NestedCallRule>,
    /// Largest deviation of a service time from its mean, as a fraction of it.
    pub spread: f64,
    /// Seed of the deviations.
    pub seed: u64,
    /// Time in ms by which `/load` lags.
    pub load_lag_ms: u64,
    /// Time in ms after the start during which work is slower.
    pub cold_ms: u64,
    /// Factor on service times while cold.
    pub cold_factor: f64,
    /// Time in ms after the start during which health says `starting`.
    pub starting_ms: u64,
    /// Bytes of padding in each answer.
    pub answer_bytes: usize,
}

impl BackendSettings {
    /// Returns the mean service time of a path in ms, 1 if no rule matches.
    #[must_use]
    pub fn time_ms(&self, path: &str) -> f64 {
        let matching = self
            .work
            .iter()
            .filter(|rule| path.starts_with(&rule.prefix));
        let rule = matching.max_by_key(|rule| rule.prefix.len());
        rule.map_or(1.0, |rule| rule.time_ms)
    }

    /// Returns the call that work on a path makes first.
    #[must_use]
    pub fn nest(&self, path: &str) -> Option<&NestedCallRule> {
        let matching = self
            .nests
            .iter()
            .filter(|rule| path.starts_with(&rule.prefix));
        matching.max_by_key(|rule| rule.prefix.len())
    }
}
