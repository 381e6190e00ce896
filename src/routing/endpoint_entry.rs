use crate::id::{NodeAddress, NodeIncarnation, RegionName, ZoneName};
use crate::membership::MemberState;
use crate::size::SlotCount;

/// Describes an endpoint of a service as membership knows it.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Peer address of the node beside the endpoint.
    pub address: NodeAddress,
    /// Start of that node; zero if not yet known.
    pub incarnation: NodeIncarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// State; entries that are gone are ignored.
    pub state: MemberState,
    /// Whether this node or enough witnesses suspect the endpoint.
    pub suspected: bool,
    /// Slots of the service.
    pub slots: SlotCount,
}
