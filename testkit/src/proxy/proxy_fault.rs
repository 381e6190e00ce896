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

/// Holds a `POST /fault` request; it replaces the fault of the mappings that it names.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyFault {
    /// What the mappings do.
    pub mode: ProxyMode,
    /// Names of mappings.
    #[serde(default)]
    pub mappings: Vec<String>,
    /// Names of groups; with neither mappings nor groups, the request holds for all mappings.
    #[serde(default)]
    pub groups: Vec<String>,
    /// Bytes of each connection that still reach the connecting side, with `truncate`.
    #[serde(default)]
    pub after_bytes: u64,
}

/// States what a faulty mapping does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProxyMode {
    /// Works; connections that went silent stay silent.
    #[default]
    None,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Swallows all bytes of open and of new connections.
    Silent,
    /// Swallows all bytes of the connections that are open now; new ones work.
    SilentOpen,
    /// Resets each connection after a number of bytes towards the connecting side.
    Truncate,
}
