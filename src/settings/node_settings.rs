use std::net::SocketAddr;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, RegionName, ServiceName, ZoneName};
use crate::size::ByteSize;

/// Holds every setting of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Where the node stands.
    pub placement: PlacementSettings,
    /// Addresses that the node listens on.
    pub listen: ListenSettings,
    /// The backend server beside the node.
    pub backend: BackendSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Peer addresses of the first peers.
    pub seeds: Vec<NodeAddress>,
    /// Limits on calls.
    pub call: CallSettings,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Seed of the random generator; drawn from the system if absent.
    pub random_seed: Option<u64>,
}

/// States where a node stands.
#[derive(Debug, Clone)]
pub struct PlacementSettings {
    /// Service of the backend server beside the node.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

/// Holds the listen addresses of a node.
#[derive(Debug, Clone)]
pub struct ListenSettings {
    /// HTTP/1.1 for callers.
    pub caller: SocketAddr,
    /// h2 for other nodes; also the identity of the node.
    pub peer: SocketAddr,
    /// HTTP/1.1 for operators.
    pub admin: SocketAddr,
}

/// Holds the address and the time limits of the backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address.
    pub address: SocketAddr,
    /// Time to open a connection.
    pub connect_timeout: ClockTime,
    /// Time between two health checks.
    pub health_interval: ClockTime,
}

/// Holds the addresses and the call budget of the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the configuration service.
    pub config: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Region of the configuration service.
    pub region: RegionName,
    /// Calls per second that the configuration service serves over all readers.
    pub call_budget: u32,
    /// Longest wait of one watch.
    pub watch_wait: ClockTime,
    /// Whether every node watches, instead of few readers; for comparison only.
    pub every_node_watches: bool,
}

/// Holds limits on calls.
#[derive(Debug, Clone)]
pub struct CallSettings {
    /// Largest request head.
    pub head_limit: ByteSize,
    /// Largest request or answer body.
    pub body_limit: ByteSize,
    /// Time to receive a request head.
    pub head_timeout: ClockTime,
    /// Time to receive a request body.
    pub body_timeout: ClockTime,
    /// Largest call depth.
    pub depth_limit: u8,
    /// Calls that may wait for a slot at the endpoint.
    pub queue_limit: usize,
    /// Time that a leaving node waits for the calls it holds.
    pub drain_timeout: ClockTime,
    /// Lifetime of an idempotency key.
    pub key_lifetime: ClockTime,
    /// Time after its start from which an endpoint accepts keys made by callers.
    pub key_settle: ClockTime,
    /// Whether the plain policy is used: round robin, first in first out, no hedging.
    pub plain_policy: bool,
}
