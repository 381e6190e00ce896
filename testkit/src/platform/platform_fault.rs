use serde::Deserialize;

/// Body of a `POST /fault` request, which replaces the fault of its target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformFault {
    /// Behavior of the target.
    pub mode: PlatformFaultMode,
    /// Affected resource.
    #[serde(default)]
    pub target: FaultTarget,
    /// Duration of the fault in ms; unlimited if absent.
    pub for_ms: Option<u64>,
    /// Delay of each response in ms, for mode `slow`.
    #[serde(default)]
    pub slow_ms: u64,
    /// Number of revisions by which the served value is older than the newest one at the time of
    /// the request, for mode `stale`.
    #[serde(default = "default_behind")]
    pub behind: u64,
    /// Delay in ms until a published instance list becomes visible; unchanged if absent.
    pub instance_lag_ms: Option<u64>,
}

/// Behavior of a platform resource under a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFaultMode {
    /// Operates normally.
    None,
    /// Resets open connections and refuses new ones.
    Down,
    /// Serves an older published value.
    Stale,
    /// Accepts requests and never responds.
    Silent,
    /// Responds with a delay.
    Slow,
}

/// Platform resource that a fault affects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultTarget {
    /// Both resources.
    #[default]
    All,
    /// The manifest.
    Manifest,
    /// The instance list.
    Instances,
}

fn default_behind() -> u64 {
    1
}
