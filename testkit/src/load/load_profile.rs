use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// Describes a load, as a TOML or JSON file states it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Seed of the arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Calls that may be in flight; further ones wait, and the wait counts as latency.
    #[serde(default = "default_limit")]
    pub in_flight_limit: usize,
    /// Kinds of call.
    pub kinds: Vec<KindProfile>,
    /// Steps, one after the other.
    pub steps: Vec<StepProfile>,
}

/// Describes the calls of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindProfile {
    /// Name.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path; each call adds its number as a last segment.
    pub path: String,
    /// Part of the rate of a step, relative to the other kinds.
    #[serde(default)]
    pub share: f64,
    /// Value of a call that completes in time.
    pub weight: f64,
    /// Time in ms from the intended start after which an answer is late.
    pub deadline_ms: u64,
    /// Whether calls carry idempotency keys.
    #[serde(default)]
    pub key: KeyMode,
    /// Retries of a call through other nodes, with the same key.
    #[serde(default)]
    pub retries: u32,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
}

/// States how calls carry idempotency keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyMode {
    /// Without key.
    #[default]
    None,
    /// With a UUIDv7 and no stated age.
    Uuid,
    /// With a UUIDv7 and the age of the first attempt in `x-first-attempt-age-ms`.
    First,
}

/// Describes a time with constant rates.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepProfile {
    /// Calls per second over all kinds, divided by their shares.
    #[serde(default)]
    pub rate: f64,
    /// Calls per second of single kinds, instead of their shares.
    #[serde(default)]
    pub rates: BTreeMap<String, f64>,
    /// Length in seconds.
    pub seconds: f64,
}

impl LoadProfile {
    /// Reads a profile; a file name that ends in `.json` is read as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a step names an unknown kind.
    pub fn load(path: &Path) -> io::Result<LoadProfile> {
        let text = fs::read_to_string(path)?;
        let profile: LoadProfile = if path.extension().is_some_and(|word| word == "json") {
            serde_json::from_str(&text)?
        } else {
            toml::from_str(&text).map_err(io::Error::other)?
        };
        let known = |name: &String| profile.kinds.iter().any(|kind| kind.name == *name);
        let mut named = profile.steps.iter().flat_map(|step| step.rates.keys());
        match named.find(|name| !known(name)) {
            Some(name) => Err(io::Error::other(format!("step names unknown kind {name}"))),
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

fn default_limit() -> usize {
    1_000
}
