use crate::clock::ClockTime;

/// Heartbeats without a report after which the registry removes an entry.
const EXPIRY_HEARTBEAT_COUNT: u64 = 3;
/// Number of refresh intervals in the shortest propagation bound, so that a change arrives within
/// the bound even if one read is slow.
const BOUND_INTERVAL_COUNT: u64 = 4;

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
    /// Factor by which the rate of a cold endpoint may exceed the one that it tolerates.
    pub cold_excess: f64,
    /// Requests in one second by which the rate of a cold endpoint may exceed the product.
    pub cold_tolerance: f64,
}

impl MeshBounds {
    /// Returns the usual time between two refreshes of a node's view.
    #[must_use]
    pub fn refresh_interval(&self) -> ClockTime {
        let bound = self.config_apply.min(self.drain);
        ClockTime(bound.0 / BOUND_INTERVAL_COUNT)
    }

    /// Returns the shortest outage of the registry after which a missing entry may have expired.
    ///
    /// The last report of an endpoint precedes the outage by a heartbeat at most, so an entry that is
    /// missing after a shorter outage was removed. After an outage longer than the drain bound, no
    /// removal is known in time anyway.
    #[must_use]
    pub fn shortest_expiry(&self) -> ClockTime {
        ClockTime(self.heartbeat.0 * (EXPIRY_HEARTBEAT_COUNT - 1)).min(self.drain)
    }
}
