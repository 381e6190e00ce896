use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::id::NodeAddress;
use crate::version::VersionStamp;

/// Node ids sent in one message, so that a frame stays small.
const MAX_IDS: usize = 1_024;

/// Knows which nodes of the zone have the current version in force.
///
/// Reports about a version that is not in force here yet are kept, because each id is sent once
/// on a link.
#[derive(Debug, Clone, Default)]
pub struct AppliedSet {
    current: AppliedList,
    next: AppliedList,
    cursors: BTreeMap<NodeAddress, usize>,
}

/// Holds ids in order of arrival, each with the peers that sent it.
#[derive(Debug, Clone, Default)]
struct AppliedList {
    stamp: VersionStamp,
    order: Vec<NodeAddress>,
    known: BTreeMap<NodeAddress, SmallVec<[NodeAddress; 2]>>,
}

impl AppliedSet {
    /// Starts over for the version that was just put in force at the node `own`.
    pub fn install(&mut self, stamp: VersionStamp, own: NodeAddress) {
        if self.next.stamp == stamp {
            self.current = std::mem::take(&mut self.next);
        } else {
            self.current = AppliedList {
                stamp,
                ..AppliedList::default()
            };
        }
        self.cursors.values_mut().for_each(|cursor| *cursor = 0);
        self.current.add(own, own);
    }

    /// Records what `source` reported.
    pub fn record(&mut self, stamp: VersionStamp, nodes: &[NodeAddress], source: NodeAddress) {
        if stamp > self.current.stamp && stamp > self.next.stamp {
            self.next = AppliedList {
                stamp,
                ..AppliedList::default()
            };
        }
        let list = if stamp == self.current.stamp {
            &mut self.current
        } else if stamp == self.next.stamp {
            &mut self.next
        } else {
            return;
        };
        for node in nodes {
            list.add(*node, source);
        }
    }

    /// Returns the ids that were not yet sent to `peer` and did not come from it.
    pub fn unsent(&mut self, peer: NodeAddress) -> Vec<NodeAddress> {
        let cursor = self.cursors.entry(peer).or_default();
        let mut nodes = Vec::new();
        while let Some(node) = self.current.order.get(*cursor) {
            if nodes.len() == MAX_IDS {
                break;
            }
            *cursor += 1;
            let sources = self.current.known.get(node);
            let heard = sources.is_some_and(|sources| sources.contains(&peer));
            if !heard && *node != peer {
                nodes.push(*node);
            }
        }
        nodes
    }

    /// Forgets what was sent and heard on a link that closed.
    pub fn forget(&mut self, peer: &NodeAddress) {
        self.cursors.remove(peer);
        // The peer may have restarted and lost what it sent.
        for list in [&mut self.current, &mut self.next] {
            for sources in list.known.values_mut() {
                sources.retain(|source| source != peer);
            }
        }
    }

    /// Returns the version that the ids are about.
    #[must_use]
    pub fn stamp(&self) -> VersionStamp {
        self.current.stamp
    }

    /// Returns the nodes of the zone known to have the version in force, in order of address.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeAddress> {
        self.current.known.keys()
    }
}

impl AppliedList {
    fn add(&mut self, node: NodeAddress, source: NodeAddress) {
        let order = &mut self.order;
        let sources = self.known.entry(node).or_insert_with(|| {
            order.push(node);
            SmallVec::new()
        });
        if !sources.contains(&source) {
            sources.push(source);
        }
    }
}
