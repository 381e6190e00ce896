use crate::clock::ClockTime;

/// Holds the figures that the operators guarantee or demand.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshBounds {
    /// Time after its acknowledgement by which a configuration is in force.
    pub config_apply: ClockTime,
    /// Time after which an endpoint that leaves gets no new request.
    pub drain: ClockTime,
    /// Time from SIGTERM to SIGKILL.
    pub grace: ClockTime,
    /// Time between two reports of an endpoint to the registry.
    pub heartbeat: ClockTime,
    /// Repeats allowed per request of a service.
    pub retry_ratio: f64,
    /// Window over which requests and repeats are counted.
    pub retry_window: ClockTime,
    /// Repeats allowed in a window in addition, over all nodes.
    pub retry_slack: f64,
}
