use crate::id::NodeAddress;

/// Endpoint chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointChoice {
    /// Peer address of the node that serves the endpoint.
    pub address: NodeAddress,
    /// Locality of the endpoint.
    pub tier: EndpointTier,
}

/// Locality of an endpoint, in order of increasing distance and cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointTier {
    /// The endpoint is in the same availability zone.
    Zone,
    /// The endpoint is in another zone of the same region.
    Region,
    /// The endpoint is in another region, which is reached over a paid link.
    CrossRegion,
}
