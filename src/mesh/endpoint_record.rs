use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{EndpointId, ServiceName, ZoneName};

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Finishes its current requests and accepts no new ones.
    Draining,
}

/// The registry record that an endpoint publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Identifier of the incarnation.
    pub id: EndpointId,
    /// Address at which its sidecar node reaches it.
    pub address: SocketAddr,
    /// Service to which it belongs.
    pub service: ServiceName,
    /// Availability zone of its instance.
    pub zone: ZoneName,
    /// Number of requests that it processes concurrently.
    pub capacity: u32,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Remaining warm-up time at the time of the report, during which it is slower.
    pub warm_up: ClockTime,
    /// Start of the incarnation in milliseconds since the Unix epoch.
    pub born: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Revision at which the registry created the entry. It differs after the entry has expired and
    /// the endpoint has registered again.
    pub registered: u64,
}

impl EndpointRecord {
    /// Returns true if this record is older than another record of the same endpoint.
    #[must_use]
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.born, self.sequence) < (other.born, other.sequence)
    }
}
