use serde::{Deserialize, Serialize};

use crate::id::{KindName, NodeAddress, ServiceName, ZoneName};
use crate::version::VersionStamp;

/// Is the answer of `/v1/explain`: where a call would go from this node and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallExplanation {
    /// Version in force.
    pub stamp: VersionStamp,
    /// Prefix of the matching route, if any.
    pub prefix: Option<String>,
    /// Service that the route names.
    pub service: Option<ServiceName>,
    /// Kind that the route names.
    pub kind: Option<KindName>,
    /// Endpoints of the service as this node sees them.
    pub endpoints: Vec<EndpointView>,
}

/// Shows one endpoint as a node sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Peer address.
    pub address: NodeAddress,
    /// Availability zone, if the policy regards it.
    pub zone: Option<ZoneName>,
    /// Why the endpoint would or would not be chosen.
    pub state: String,
    /// Own calls in flight.
    pub in_flight: u32,
    /// Load that the endpoint reported last, per slot, in thousandths.
    pub load: u32,
    /// Latency relative to the mean of the service; 1 is average.
    pub slowness: f64,
}
