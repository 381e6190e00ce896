use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation, RegionName, ServiceName, ZoneName};

/// State of one node in the form in which nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Peer address, which identifies the node.
    pub address: NodeAddress,
    /// Address of the admin pages.
    pub admin: NodeAddress,
    /// Start time of the process; zero if the node is known only from the platform's list.
    pub incarnation: NodeIncarnation,
    /// Service of the node's backend server.
    pub service: ServiceName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
    /// State of the node.
    pub state: MemberState,
}

impl MemberEntry {
    /// Returns the uptime of the node at the given wall-clock time in ms, or zero if its start time
    /// is unknown.
    #[must_use]
    pub fn uptime(&self, wall_ms: u64) -> ClockTime {
        if self.incarnation.0 == 0 {
            return ClockTime(0);
        }
        ClockTime(wall_ms.saturating_sub(self.incarnation.0))
    }
}

/// State of a node, in the order in which it changes within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The node accepts calls.
    Live,
    /// The node completes its current calls and accepts no new ones.
    Leaving,
    /// The node is gone. The entry is kept as a tombstone, because the node may have run keys.
    Gone,
}
