use std::net::SocketAddr;

use serde_json::{Value, json};

/// Addresses and placement of one endpoint, which consists of a backend server and its node.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// Instance name, composed of the service name and a number.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Availability zone name.
    pub zone: String,
    /// Region name.
    pub region: String,
    /// Address on which the node serves callers.
    pub caller: SocketAddr,
    /// Address on which the node serves other nodes; identifies the node.
    pub peer: SocketAddr,
    /// Address on which the node serves operators.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Control address of the backend server.
    pub control: SocketAddr,
    /// Address through which callers reach the node: `caller` or a mapping of the fault proxy.
    pub entry: SocketAddr,
    /// Address through which the node reaches the configuration service.
    pub config: SocketAddr,
    /// Address through which the node reaches the instance list.
    pub instances: SocketAddr,
    /// Peer addresses, each with the address that the node dials instead.
    pub dial: Vec<(SocketAddr, SocketAddr)>,
}

impl EndpointPlan {
    /// Returns the entry of this endpoint in the instance list.
    #[must_use]
    pub fn instance_entry(&self, state: &str) -> Value {
        json!({
            "address": self.peer,
            "admin": self.admin,
            "service": self.service,
            "zone": self.zone,
            "region": self.region,
            "state": state,
        })
    }
}
