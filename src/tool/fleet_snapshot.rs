use crate::id::NodeAddress;
use crate::membership::{MemberEntry, MemberState};
use crate::status::NodeStatus;

/// Holds the members and the answers of the nodes that were asked.
#[derive(Debug, Clone, Default)]
pub struct FleetSnapshot {
    /// Members as one node lists them.
    pub members: Vec<MemberEntry>,
    /// Status of each node that answered.
    pub answers: Vec<NodeStatus>,
    /// Nodes that were asked and gave no usable answer.
    pub silent: Vec<NodeAddress>,
}

impl FleetSnapshot {
    /// Returns the live members.
    pub fn live(&self) -> impl Iterator<Item = &MemberEntry> {
        let members = self.members.iter();
        members.filter(|entry| entry.state == MemberState::Live)
    }

    /// Returns the number of live members that an asked node knows of beyond the member list.
    ///
    /// The list comes from one node, which may be cut off from a part of the fleet.
    #[must_use]
    pub fn unlisted(&self) -> usize {
        let known = self.answers.iter().map(|status| status.live_members).max();
        known.unwrap_or(0).saturating_sub(self.live().count())
    }
}
