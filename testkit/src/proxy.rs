//! TCP mappings with latency, limited bandwidth and faults.

mod link_group;
mod mapping_request;
mod proxy_fault;
mod proxy_mapping;
mod proxy_server;
mod proxy_stream;

pub use link_group::LinkGroup;
pub use mapping_request::{GroupEntry, MappingEntry, MappingRequest};
pub use proxy_fault::{ProxyFault, ProxyFaultMode};
pub use proxy_mapping::ProxyMapping;
pub use proxy_server::ProxyServer;

/// Names a direction through the proxy, as an index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    ToSource,
}
