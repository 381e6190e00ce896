use std::net::SocketAddr;

use serde::Deserialize;

/// Body of a `POST /mapping` request; an entry with a known name updates the existing group or
/// mapping.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MappingRequest {
    /// Groups, applied before the mappings.
    #[serde(default)]
    pub groups: Vec<GroupEntry>,
    /// Mappings, applied in order.
    #[serde(default)]
    pub mappings: Vec<MappingEntry>,
}

/// Group of mappings that share bandwidth.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupEntry {
    /// Name of the group.
    pub name: String,
    /// Bits per second in each direction; unlimited if absent.
    pub bits_per_second: Option<u64>,
}

/// Mapping from a listen address to a target address.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MappingEntry {
    /// Name of the mapping, by which faults refer to it.
    pub name: String,
    /// Address that the proxy listens on; not updated for an existing mapping.
    pub listen: SocketAddr,
    /// Address that connections are forwarded to; not updated for an existing mapping.
    pub target: SocketAddr,
    /// Name of the group; not updated for an existing mapping.
    pub group: Option<String>,
    /// One-way latency in ms.
    #[serde(default)]
    pub latency_ms: f64,
}
