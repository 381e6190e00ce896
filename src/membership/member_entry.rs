use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
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

impl MemberEntry {
    /// Returns the uptime of the node at the given wall-clock time in ms; zero if its start is not
    /// known.
    #[must_use]
    pub fn uptime(&self, wall_ms: u64) -> ClockTime {
        if self.incarnation.0 == 0 {
            return ClockTime(0);
        }
        ClockTime(wall_ms.saturating_sub(self.incarnation.0))
    }
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
