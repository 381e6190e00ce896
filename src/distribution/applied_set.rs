use std::collections::{BTreeMap, BTreeSet};

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

/// Holds ids in order of arrival, each with the peer that sent it.
#[derive(Debug, Clone, Default)]
struct AppliedList {
    stamp: VersionStamp,
    order: Vec<(NodeAddress, NodeAddress)>,
    known: BTreeSet<NodeAddress>,
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
        while let Some((node, source)) = self.current.order.get(*cursor) {
            if nodes.len() == MAX_IDS {
                break;
            }
            *cursor += 1;
            if *source != peer && *node != peer {
                nodes.push(*node);
            }
        }
        nodes
    }

    /// Forgets what was sent on a link that closed.
    pub fn forget(&mut self, peer: &NodeAddress) {
        self.cursors.remove(peer);
    }

    /// Returns the version that the ids are about.
    #[must_use]
    pub fn stamp(&self) -> VersionStamp {
        self.current.stamp
    }

    /// Returns the nodes of the zone known to have the version in force, in order of address.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeAddress> {
        self.current.known.iter()
    }
}

impl AppliedList {
    fn add(&mut self, node: NodeAddress, source: NodeAddress) {
        if self.known.insert(node) {
            self.order.push((node, source));
        }
    }
}
