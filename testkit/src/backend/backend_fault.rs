use serde::Deserialize;

/// Body of a `POST /fault` request, which replaces the previous fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendFault {
    /// Behavior of the backend server.
    pub mode: BackendFaultMode,
    /// Duration of the fault in ms; unlimited if absent.
    pub for_ms: Option<u64>,
    /// Factor applied to service times, for mode `slow`.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// Number of body bytes sent before the connection closes, for mode `cut`.
    #[serde(default)]
    pub after_bytes: usize,
}

/// Behavior of a backend server under a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFaultMode {
    /// Operates normally.
    None,
    /// Multiplies service times.
    Slow,
    /// Accepts requests, including those for health and load, and never responds.
    Silent,
    /// Executes requests and closes the connection in the middle of the response body.
    Cut,
    /// Reports draining; still executes and counts the requests that arrive.
    Drain,
}

fn default_factor() -> f64 {
    1.0
}
