use serde::{Deserialize, Serialize};

use crate::id::{KindName, NodeAddress, ServiceName, ZoneName};
use crate::version::VersionStamp;

/// Response body of `/v1/explain`: how this node would route a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallExplanation {
    /// Version in force.
    pub stamp: VersionStamp,
    /// Path prefix of the matching route, if any.
    pub prefix: Option<String>,
    /// Service of the matching route.
    pub service: Option<ServiceName>,
    /// Kind of the matching route.
    pub kind: Option<KindName>,
    /// Endpoints of the service, as seen by this node.
    pub endpoints: Vec<EndpointView>,
}

/// State of one endpoint as seen by a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Address of the node that serves the endpoint.
    pub address: NodeAddress,
    /// Availability zone, if the routing policy takes zones into account.
    pub zone: Option<ZoneName>,
    /// Reason why the endpoint would or would not be selected.
    pub state: String,
    /// Calls in flight from this node to the endpoint.
    pub in_flight: u32,
    /// Last load reported by the endpoint, per slot, in thousandths.
    pub load: u32,
    /// Latency relative to the mean of the service, where 1 is the mean.
    pub slowness: f64,
}
