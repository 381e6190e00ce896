use crate::id::NodeAddress;

/// Names the endpoint chosen for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointChoice {
    /// Peer address of the node beside the endpoint.
    pub address: NodeAddress,
    /// Distance of the endpoint.
    pub tier: EndpointTier,
}

/// Orders endpoints by distance and cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointTier {
    /// The endpoint is in the same availability zone.
    Zone,
    /// The endpoint is in another zone of the same region.
    Region,
    /// The endpoint is behind the paid link.
    PaidLink,
}
