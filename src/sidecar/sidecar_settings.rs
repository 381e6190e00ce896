use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use crate::clock::ClockTime;
use crate::id::{RegionName, ServiceName, ZoneName};
use crate::sidecar::{HeaderNames, MeshBounds};
use crate::size::ByteSize;

/// Holds all that a node needs to run.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Name of the instance, for logs.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of each availability zone.
    pub regions: HashMap<ZoneName, RegionName>,
    /// Service of the endpoint beside the node.
    pub service: ServiceName,
    /// Address of the endpoint beside the node.
    pub endpoint: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Time for the registry's largest value to arrive over the instance's link.
    pub registry_transfer: ClockTime,
    /// Nodes that may know the mesh before this one has read the registry.
    pub seeds: Vec<IpAddr>,
    /// Address for clients and for the endpoint's own calls.
    pub client_listen: SocketAddr,
    /// Address for other nodes; all nodes use the same port.
    pub peer_listen: SocketAddr,
    /// Address of the readiness page.
    pub ready_listen: SocketAddr,
    /// Address of the metrics page.
    pub metrics_listen: SocketAddr,
    /// Path of the readiness page.
    pub ready_path: String,
    /// Memory that the process may use.
    pub memory: ByteSize,
    /// Descriptors that the process may use for connections.
    pub descriptors: usize,
    /// Figures that the operators guarantee or demand.
    pub bounds: MeshBounds,
    /// Names of headers.
    pub headers: HeaderNames,
}
