use serde::Deserialize;

/// Holds a `POST /fault` request; it replaces the fault of its target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFault {
    /// What the target does.
    pub mode: PlatformFaultMode,
    /// Which part is affected.
    #[serde(default)]
    pub target: FaultTarget,
    /// Time in ms after which the fault ends by itself; none if absent.
    pub for_ms: Option<u64>,
    /// Delay of each answer in ms, with `slow`.
    #[serde(default)]
    pub slow_ms: u64,
    /// Revisions behind the newest one at the time of the request, with `stale`.
    #[serde(default = "one")]
    pub behind: u64,
    /// Time in ms by which the instance list lags; unchanged if absent.
    pub instance_lag_ms: Option<u64>,
}

/// States what a faulty part of the platform does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFaultMode {
    /// Works.
    None,
    /// Resets open connections and refuses new ones.
    Down,
    /// Answers with an older published value.
    Stale,
    /// Accepts requests and never answers them.
    Silent,
    /// Answers late.
    Slow,
}

/// Names the part of the platform that a fault affects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// Both parts.
    #[default]
    All,
    /// The manifest.
    Manifest,
    /// The instance list.
    Instances,
}

fn one() -> u64 {
    1
}
