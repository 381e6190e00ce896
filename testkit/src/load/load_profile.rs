use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// Load as described by a TOML or JSON file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Seed of the random arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Maximum number of calls in flight; further calls wait, and the wait counts as latency.
    #[serde(default = "default_in_flight_limit")]
    pub in_flight_limit: usize,
    /// Kinds of calls that the load consists of.
    pub kinds: Vec<KindProfile>,
    /// Steps, executed in sequence.
    pub steps: Vec<StepProfile>,
}

/// Calls of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindProfile {
    /// Name of the kind, used in step rates, target addresses and reports.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path; each call appends its number as the last segment.
    pub path: String,
    /// Share of the rate of a step, relative to the other kinds.
    #[serde(default)]
    pub share: f64,
    /// Weight of a call that completes before its deadline, for the weighted goodput.
    pub weight: f64,
    /// Deadline of a response in ms after the intended start.
    pub deadline_ms: u64,
    /// Idempotency keys of the calls.
    #[serde(default)]
    pub key: KeyMode,
    /// Maximum number of retries of a call through other nodes, with the same key.
    #[serde(default)]
    pub retries: u32,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
}

/// Idempotency key that calls carry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyMode {
    /// No key.
    #[default]
    None,
    /// UUIDv7 without the age of the first attempt.
    Uuid,
    /// UUIDv7 with the age of the first attempt in `x-first-attempt-age-ms`.
    First,
}

/// Period with constant rates.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepProfile {
    /// Total calls per second, divided among the kinds by their shares.
    #[serde(default)]
    pub rate: f64,
    /// Calls per second of individual kinds, overriding their shares.
    #[serde(default)]
    pub rates: BTreeMap<String, f64>,
    /// Duration in seconds.
    pub seconds: f64,
}

impl LoadProfile {
    /// Loads a profile; a file with the extension `.json` is parsed as JSON, any other as TOML.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, or a step refers to an unknown kind.
    pub fn load(path: &Path) -> io::Result<LoadProfile> {
        let text = fs::read_to_string(path)?;
        let profile: LoadProfile = if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            serde_json::from_str(&text)?
        } else {
            toml::from_str(&text).map_err(io::Error::other)?
        };
        let known = |name: &String| profile.kinds.iter().any(|kind| kind.name == *name);
        let mut names = profile.steps.iter().flat_map(|step| step.rates.keys());
        match names.find(|name| !known(name)) {
            Some(name) => Err(io::Error::other(format!(
                "step refers to unknown kind {name}"
            ))),
            None => Ok(profile),
        }
    }

    /// Returns the rate of each kind in a step, in calls per second.
    #[must_use]
    pub fn rates(&self, step: &StepProfile) -> Vec<f64> {
        let total: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let rate = |kind: &KindProfile| match step.rates.get(&kind.name) {
            Some(rate) => *rate,
            None if total > 0.0 => step.rate * kind.share / total,
            None => 0.0,
        };
        self.kinds.iter().map(rate).collect()
    }
}

fn default_in_flight_limit() -> usize {
    1_000
}
