use crate::clock::ClockTime;

/// Time bounds and retry limits that apply across the mesh.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshBounds {
    /// Longest time from the acknowledgement of a configuration until all nodes apply it.
    pub config_apply: ClockTime,
    /// Longest time from the start of draining until an endpoint receives no new requests.
    pub drain: ClockTime,
    /// Time from SIGTERM to SIGKILL.
    pub grace: ClockTime,
    /// Interval at which an endpoint reports to the registry.
    pub heartbeat: ClockTime,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: ClockTime,
    /// Additional retries allowed in a window, summed over all nodes.
    pub retry_slack: f64,
}
