use std::net::SocketAddr;

use serde::Deserialize;

/// Holds a `POST /mapping` request; entries with a known name change what they name.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MappingRequest {
    /// Groups, added before the mappings.
    #[serde(default)]
    pub groups: Vec<GroupEntry>,
    /// Mappings.
    #[serde(default)]
    pub mappings: Vec<MappingEntry>,
}

/// Describes a group of mappings that share bandwidth.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupEntry {
    /// Name.
    pub name: String,
    /// Bits per second each way; unlimited if absent.
    pub bits_per_second: Option<u64>,
}

/// Describes a mapping.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MappingEntry {
    /// Name.
    pub name: String,
    /// Address that the proxy listens on; cannot be changed.
    pub listen: SocketAddr,
    /// Address that connections go on to; cannot be changed.
    pub target: SocketAddr,
    /// Group; cannot be changed.
    pub group: Option<String>,
    /// One-way latency in ms.
    #[serde(default)]
    pub latency_ms: f64,
}
