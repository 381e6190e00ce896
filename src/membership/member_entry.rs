use serde::{Deserialize, Serialize};

use crate::id::{NodeAddress, NodeIncarnation, RegionName, ServiceName, ZoneName};

/// Describes one node as it is passed between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Peer address, the identity of the node.
    pub address: NodeAddress,
    /// Admin address.
    pub admin: NodeAddress,
    /// Start of the process; zero if known from the platform's list only.
    pub incarnation: NodeIncarnation,
    /// Service of the backend server beside the node.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// State.
    pub state: MemberState,
}

/// States whether a node takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The node takes work.
    Live,
    /// The node finishes what it holds and takes no new work.
    Leaving,
    /// The node is gone; kept as a tombstone so that it is not taken for one that never ran a key.
    Gone,
}
