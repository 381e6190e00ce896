use crate::id::NodeAddress;
use crate::membership::{MemberEntry, MemberState};
use crate::status::NodeStatus;

/// Member list of the fleet together with the status of the queried nodes.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// Member list of one node.
    pub members: Vec<MemberEntry>,
    /// Status of each node that answered.
    pub answers: Vec<NodeStatus>,
    /// Queried nodes that gave no usable answer.
    pub silent: Vec<NodeAddress>,
}

impl FleetSnapshot {
    /// Returns the live members.
    pub fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        let members = self.members.iter();
        members.filter(|entry| entry.state == MemberState::Live)
    }

    /// Returns the number of live members that a queried node knows but the member list does not
    /// contain.
    ///
    /// The list comes from a single node, which may be partitioned from part of the fleet.
    #[must_use]
    pub fn unlisted(&self) -> usize {
        let known = self.answers.iter().map(|status| status.live_members).max();
        known.unwrap_or(0).saturating_sub(self.live().count())
    }
}
