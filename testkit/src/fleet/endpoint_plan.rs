use std::net::SocketAddr;

use serde_json::{Value, json};

/// Describes one endpoint: a backend server and the node beside it.
#[derive(Debug, Clone)]
pub struct EndpointPlan {
    /// Instance name: the service and a number.
    pub name: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address of the node for callers.
    pub caller: SocketAddr,
    /// Address of the node for other nodes; its identity.
    pub peer: SocketAddr,
    /// Address of the node for operators.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Control port of the backend server.
    pub control: SocketAddr,
    /// Address at which callers reach the node: `caller`, or a mapping of the fault proxy.
    pub entry: SocketAddr,
    /// Address at which the node reaches the configuration service.
    pub config: SocketAddr,
    /// Address at which the node reaches the instance list.
    pub instances: SocketAddr,
    /// Peer addresses with the addresses at which the node reaches them instead.
    pub dial: Vec<(SocketAddr, SocketAddr)>,
}

impl EndpointPlan {
    /// Returns the entry of the instance list.
    #[must_use]
    pub fn instance(&self, state: &str) -> Value {
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
