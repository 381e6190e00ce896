use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use crate::clock::ClockTime;
use crate::id::{RegionName, ServiceName, ZoneName};
use crate::sidecar::{HeaderNames, MeshBounds};
use crate::size::{ByteSize, CallRate};

/// The settings of a sidecar node.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    /// Name of the instance, for logs.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of each availability zone.
    pub regions: HashMap<ZoneName, RegionName>,
    /// Service of the local endpoint.
    pub service: ServiceName,
    /// Address of the local endpoint.
    pub endpoint: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Reads per second that the registry allows to all nodes together.
    pub registry_rate: CallRate,
    /// Time that the largest value of the registry takes to arrive over the link of the instance.
    pub registry_transfer_time: ClockTime,
    /// Nodes that can provide a view of the mesh before this node has read the registry.
    pub seeds: Vec<IpAddr>,
    /// Listening address for clients and for outbound calls of the local endpoint.
    pub client_listen: SocketAddr,
    /// Listening address for other nodes; all nodes use the same port.
    pub peer_listen: SocketAddr,
    /// Listening address of the readiness check.
    pub ready_listen: SocketAddr,
    /// Listening address of the metrics.
    pub metrics_listen: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Memory that the process may use.
    pub memory: ByteSize,
    /// File descriptors that the process may use for connections.
    pub descriptors: usize,
    /// Time bounds and retry limits that apply across the mesh.
    pub bounds: MeshBounds,
    /// Names of the headers that clients, nodes and endpoints exchange.
    pub headers: HeaderNames,
}
