use crate::fleet::EndpointPlan;

/// States which places have mappings of their own for the traffic between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerLinkScope {
    /// Each pair of regions.
    Regions,
    /// Each pair of availability zones.
    Zones,
    /// Each pair of nodes.
    Nodes,
}

impl PeerLinkScope {
    /// Returns the name of the place of an endpoint.
    #[must_use]
    pub fn place(self, endpoint: &EndpointPlan) -> &str {
        match self {
            PeerLinkScope::Regions => &endpoint.region,
            PeerLinkScope::Zones => &endpoint.zone,
            PeerLinkScope::Nodes => &endpoint.name,
        }
    }
}
