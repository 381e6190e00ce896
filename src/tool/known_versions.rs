use std::collections::BTreeMap;

use crate::id::{NodeAddress, NodeIncarnation};
use crate::membership::MemberEntry;
use crate::tool::FleetSnapshot;
use crate::version::VersionStamp;

/// Highest version that each live member is known to have in force.
///
/// The version of a process never decreases, so an entry stays valid across snapshots until the
/// incarnation of the node changes.
#[derive(Debug, Clone, Default)]
pub struct KnownVersions {
    entries: BTreeMap<NodeAddress, (NodeIncarnation, VersionStamp)>,
}

impl KnownVersions {
    /// Merges the reports of a snapshot and removes nodes that have restarted or are no longer
    /// live.
    pub fn merge(&mut self, snapshot: &FleetSnapshot) {
        let live: BTreeMap<_, _> = snapshot
            .live()
            .map(|entry| (entry.address, entry.incarnation))
            .collect();
        self.entries
            .retain(|node, (incarnation, _)| live.get(node) == Some(incarnation));
        let mut record = |node: &NodeAddress, stamp: VersionStamp| {
            let live_incarnation = live.get(node).filter(|_| stamp != VersionStamp::default());
            if let Some(incarnation) = live_incarnation {
                let entry = self.entries.entry(*node).or_insert((*incarnation, stamp));
                entry.1 = entry.1.max(stamp);
            }
        };
        for status in &snapshot.answers {
            record(&status.member.address, status.stamp);
            for group in &status.applied {
                group
                    .nodes
                    .iter()
                    .for_each(|node| record(node, group.stamp));
            }
        }
    }

    /// Returns the known version of a live member.
    pub(crate) fn stamp(&self, entry: &MemberEntry) -> Option<VersionStamp> {
        self.entries.get(&entry.address).map(|(_, stamp)| *stamp)
    }
}

impl From<&FleetSnapshot> for KnownVersions {
    fn from(snapshot: &FleetSnapshot) -> Self {
        let mut versions = Self::default();
        versions.merge(snapshot);
        versions
    }
}
