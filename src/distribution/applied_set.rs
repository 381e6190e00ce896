use std::collections::BTreeMap;

use smallvec::{SmallVec, smallvec};

use crate::id::{NodeAddress, NodeIncarnation};
use crate::version::VersionStamp;

/// Node ids sent to a peer at once, so that a frame stays small.
const MAX_IDS: usize = 1_024;
/// Nodes that are known at most; a zone of the size to design for has 690.
const MAX_NODES: usize = 8_192;
/// Rise of an incarnation that means a restart. An incarnation is a start time in ms, and a node
/// that contradicts a claim about itself raises it by 1 without a restart.
const RESTART_RISE: u64 = 1_000;

/// Knows the highest version that each node of the zone has put in force.
///
/// A report is passed on once to each peer when the version of its node rises, so reports still
/// arrive when versions change faster than they cross the zone.
#[derive(Debug, Clone)]
pub struct AppliedSet {
    own: NodeAddress,
    entries: BTreeMap<NodeAddress, AppliedEntry>,
    order: BTreeMap<u64, NodeAddress>,
    sequence: u64,
    cursors: BTreeMap<NodeAddress, u64>,
}

/// Holds what is known of one node.
#[derive(Debug, Clone)]
struct AppliedEntry {
    stamp: VersionStamp,
    /// Incarnation in the member table; absent while the table lacks the node.
    incarnation: Option<NodeIncarnation>,
    /// Position in the order of changes.
    sequence: u64,
    /// Peers that sent this stamp and need not get it.
    sources: SmallVec<[NodeAddress; 2]>,
}

impl AppliedSet {
    /// Creates the set of the node `own`, which has no version yet.
    #[must_use]
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
            sequence: 0,
            cursors: BTreeMap::new(),
        }
    }

    /// Records the version that this node has just put in force.
    pub fn install(&mut self, stamp: VersionStamp) {
        self.raise(stamp, self.own, None, self.own);
    }

    /// Records what `source` reported; `incarnation` gives that of the member table.
    ///
    /// Reports about this node are ignored, because only the node itself knows what it put in
    /// force.
    pub fn record<Lookup>(
        &mut self,
        stamp: VersionStamp,
        nodes: &[NodeAddress],
        source: NodeAddress,
        incarnation: Lookup,
    ) where
        Lookup: Fn(&NodeAddress) -> Option<NodeIncarnation>,
    {
        for node in nodes {
            if *node != self.own {
                self.raise(stamp, *node, incarnation(node), source);
            }
        }
    }

    /// Forgets nodes that left the member table or restarted since their report.
    ///
    /// A node that the table has never contained is kept: its report can arrive before its entry.
    pub fn prune<Lookup>(&mut self, incarnation: Lookup)
    where
        Lookup: Fn(&NodeAddress) -> Option<NodeIncarnation>,
    {
        let (own, order) = (self.own, &mut self.order);
        self.entries.retain(|node, entry| {
            let current = incarnation(node);
            let left = entry.incarnation.is_some() && current.is_none();
            let kept = own == *node || !left && !entry.is_before_restart(current);
            entry.incarnation = current;
            if !kept {
                order.remove(&entry.sequence);
            }
            kept
        });
    }

    /// Returns what was not yet sent to `peer` and did not come from it, by version.
    pub fn unsent(&mut self, peer: NodeAddress) -> BTreeMap<VersionStamp, Vec<NodeAddress>> {
        let cursor = self.cursors.entry(peer).or_default();
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        let mut count = 0;
        for (sequence, node) in self.order.range(*cursor + 1..) {
            if count == MAX_IDS {
                break;
            }
            *cursor = *sequence;
            let entry = self.entries.get(node);
            let new = entry.filter(|entry| !entry.sources.contains(&peer) && *node != peer);
            if let Some(entry) = new {
                count += 1;
                groups.entry(entry.stamp).or_default().push(*node);
            }
        }
        groups
    }

    /// Forgets what was sent and heard on a link that closed.
    pub fn forget(&mut self, peer: &NodeAddress) {
        self.cursors.remove(peer);
        // The peer may have restarted and lost what it sent.
        for entry in self.entries.values_mut() {
            entry.sources.retain(|source| source != peer);
        }
    }

    /// Returns the highest version that each node is known to have put in force, by address.
    pub fn entries(&self) -> impl Iterator<Item = (NodeAddress, VersionStamp)> {
        let entries = self.entries.iter();
        entries.map(|(node, entry)| (*node, entry.stamp))
    }

    fn raise(
        &mut self,
        stamp: VersionStamp,
        node: NodeAddress,
        incarnation: Option<NodeIncarnation>,
        source: NodeAddress,
    ) {
        if let Some(entry) = self.entries.get_mut(&node) {
            if !entry.is_before_restart(incarnation) && stamp <= entry.stamp {
                if stamp == entry.stamp && !entry.sources.contains(&source) {
                    entry.sources.push(source);
                }
                return;
            }
            self.order.remove(&entry.sequence);
        } else if self.entries.len() >= MAX_NODES {
            return;
        }
        self.sequence += 1;
        self.order.insert(self.sequence, node);
        let entry = AppliedEntry {
            stamp,
            incarnation,
            sequence: self.sequence,
            sources: smallvec![source],
        };
        self.entries.insert(node, entry);
    }
}

impl AppliedEntry {
    /// Returns whether the node restarted since it was reported; entries that only the instance
    /// list gave have incarnation 0.
    fn is_before_restart(&self, current: Option<NodeIncarnation>) -> bool {
        let known = self.incarnation.filter(|held| held.0 > 0);
        known.is_some_and(|held| current.is_some_and(|now| now.0 > held.0 + RESTART_RISE))
    }
}
