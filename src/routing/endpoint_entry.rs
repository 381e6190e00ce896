use crate::id::{NodeAddress, NodeIncarnation, RegionName, ZoneName};
use crate::membership::MemberState;
use crate::size::SlotCount;

/// Endpoint of a service as known from the member table.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Peer address of the node that serves the endpoint.
    pub address: NodeAddress,
    /// Incarnation of that node; zero if not yet known.
    pub incarnation: NodeIncarnation,
    /// Availability zone of that node.
    pub zone: ZoneName,
    /// Region of that node.
    pub region: RegionName,
    /// State of that node; entries in state `Gone` are ignored.
    pub state: MemberState,
    /// Whether this node or enough other nodes report the endpoint as unreachable.
    pub suspected: bool,
    /// Number of calls that one endpoint of the service runs at a time.
    pub slots: SlotCount,
}
