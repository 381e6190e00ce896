use serde::Deserialize;

/// Holds a `POST /fault` request; it replaces the fault before it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendFault {
    /// What the backend server does.
    pub mode: BackendFaultMode,
    /// Time in ms after which the fault ends by itself; none if absent.
    pub for_ms: Option<u64>,
    /// Factor on service times, with `slow`.
    #[serde(default = "one")]
    pub factor: f64,
    /// Body bytes that are sent before the connection closes, with `cut`.
    #[serde(default)]
    pub after_bytes: usize,
}

/// States what a faulty backend server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFaultMode {
    /// Works.
    None,
    /// Takes longer for the same work.
    Slow,
    /// Accepts requests and never answers them; also health and load.
    Silent,
    /// Runs the work and closes in the middle of the answer body.
    Cut,
    /// Reports draining; it still runs what arrives, and counts it.
    Drain,
}

fn one() -> f64 {
    1.0
}
