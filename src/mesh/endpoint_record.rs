use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{EndpointId, ServiceName, ZoneName};

/// States whether an endpoint accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new work.
    Ready,
    /// Finishes what it has and accepts no new work.
    Draining,
}

/// Is what one endpoint publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Identifier of this incarnation.
    pub id: EndpointId,
    /// Address at which the node beside it reaches it.
    pub address: SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone of its instance.
    pub zone: ZoneName,
    /// Requests that it processes at the same time.
    pub capacity: u32,
    /// Whether it accepts new work.
    pub state: EndpointState,
    /// Time for which it stays slow after its start, as of the report.
    pub warm_up: ClockTime,
    /// Start of the incarnation in ms since the Unix epoch.
    pub born: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

impl EndpointRecord {
    /// Returns true if this record is older than another one of the same endpoint.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.born, self.sequence) < (other.born, other.sequence)
    }
}
