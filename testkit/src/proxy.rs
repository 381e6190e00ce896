//! TCP proxy with configurable latency, bandwidth limits and injectable faults.

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

/// Direction of a byte stream through the proxy; also used as an array index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connection source to the target.
    ToTarget,
    /// From the target to the connection source.
    ToSource,
}
