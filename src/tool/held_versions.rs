use std::collections::BTreeMap;

use crate::id::{NodeAddress, NodeIncarnation};
use crate::membership::MemberEntry;
use crate::tool::FleetSurvey;
use crate::version::VersionStamp;

/// Holds the highest version that each live member is known to have in force.
///
/// Versions of a process only rise, so what one survey reported stays true in later ones until the
/// node has another incarnation.
#[derive(Debug, Clone, Default)]
pub struct HeldVersions {
    entries: BTreeMap<NodeAddress, (NodeIncarnation, VersionStamp)>,
}

impl HeldVersions {
    /// Adds what the asked nodes report and forgets nodes that are no longer live or restarted.
    pub fn add(&mut self, survey: &FleetSurvey) {
        let live: BTreeMap<_, _> = survey
            .live()
            .map(|entry| (entry.address, entry.incarnation))
            .collect();
        self.entries
            .retain(|node, (incarnation, _)| live.get(node) == Some(incarnation));
        let mut raise = |node: &NodeAddress, stamp: VersionStamp| {
            let known = live.get(node).filter(|_| stamp != VersionStamp::default());
            if let Some(incarnation) = known {
                let entry = self.entries.entry(*node).or_insert((*incarnation, stamp));
                entry.1 = entry.1.max(stamp);
            }
        };
        for status in &survey.answers {
            raise(&status.member.address, status.stamp);
            for group in &status.applied {
                group.nodes.iter().for_each(|node| raise(node, group.stamp));
            }
        }
    }

    /// Returns the version of a live member, if one is known.
    pub(crate) fn stamp(&self, entry: &MemberEntry) -> Option<VersionStamp> {
        self.entries.get(&entry.address).map(|(_, stamp)| *stamp)
    }
}

impl From<&FleetSurvey> for HeldVersions {
    fn from(survey: &FleetSurvey) -> Self {
        let mut versions = Self::default();
        versions.add(survey);
        versions
    }
}
