use crate::fleet::EndpointPlan;

/// Granularity of the proxy mappings for traffic between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerLinkScope {
    /// One set of mappings for each pair of regions.
    Regions,
    /// One set of mappings for each pair of availability zones.
    Zones,
    /// One mapping for each ordered pair of nodes.
    Nodes,
}

impl PeerLinkScope {
    /// Returns the name of the location of an endpoint at this granularity.
    #[must_use]
    pub fn location(self, endpoint: &EndpointPlan) -> &str {
        match self {
            PeerLinkScope::Regions => &endpoint.region,
            PeerLinkScope::Zones => &endpoint.zone,
            PeerLinkScope::Nodes => &endpoint.name,
        }
    }
}
