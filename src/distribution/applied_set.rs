use std::collections::BTreeMap;

use smallvec::{SmallVec, smallvec};

use crate::id::{NodeAddress, NodeIncarnation};
use crate::version::VersionStamp;

/// Maximum number of nodes reported to a peer at a time, which limits the frame size.
const MAX_REPORTED_NODES: usize = 1_024;
/// Maximum number of nodes tracked. The largest supported zone has 690 nodes.
const MAX_NODES: usize = 8_192;
/// Increase of an incarnation above which the node must have restarted. An incarnation is a start
/// time in ms; a node that refutes a claim about itself increases it by 1 without a restart.
const RESTART_THRESHOLD_MS: u64 = 1_000;

/// The highest version that each node of the zone has applied.
///
/// A report is forwarded once to each peer when the version of the reported node increases. Reports
/// therefore arrive even if versions change faster than reports cross the zone.
#[derive(Debug, Clone)]
pub struct AppliedSet {
    own: NodeAddress,
    entries: BTreeMap<NodeAddress, AppliedEntry>,
    by_sequence: BTreeMap<u64, NodeAddress>,
    sequence: u64,
    cursors: BTreeMap<NodeAddress, u64>,
}

/// Last report about one node.
#[derive(Debug, Clone)]
struct AppliedEntry {
    stamp: VersionStamp,
    /// Incarnation in the member table, or `None` while the table does not contain the node.
    incarnation: Option<NodeIncarnation>,
    /// Sequence number of the last change of this entry.
    sequence: u64,
    /// Peers that sent this stamp and need not receive it.
    sources: SmallVec<[NodeAddress; 2]>,
}

impl AppliedSet {
    /// Creates the set of the node `own`, which has not applied a version yet.
    #[must_use]
    pub fn new(own: NodeAddress) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            sequence: 0,
            cursors: BTreeMap::new(),
        }
    }

    /// Records a version that this node has just applied.
    pub fn record_own(&mut self, stamp: VersionStamp) {
        self.update_entry(stamp, self.own, None, self.own);
    }

    /// Records a report from `source`; `incarnation` looks up a node in the member table.
    ///
    /// Reports about this node are ignored, because its own records are authoritative.
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
                self.update_entry(stamp, *node, incarnation(node), source);
            }
        }
    }

    /// Removes nodes that left the member table or restarted since their report.
    ///
    /// A node that the table has never contained is retained, because a report can arrive before
    /// the member entry.
    pub fn prune<Lookup>(&mut self, incarnation: Lookup)
    where
        Lookup: Fn(&NodeAddress) -> Option<NodeIncarnation>,
    {
        let (own, by_sequence) = (self.own, &mut self.by_sequence);
        self.entries.retain(|node, entry| {
            let current = incarnation(node);
            let left = entry.incarnation.is_some() && current.is_none();
            let kept = own == *node || !left && !entry.is_before_restart(current);
            entry.incarnation = current;
            if !kept {
                by_sequence.remove(&entry.sequence);
            }
            kept
        });
    }

    /// Returns the reports not yet sent to `peer` nor received from it, by version, and marks them
    /// as sent.
    pub fn take_unsent(&mut self, peer: NodeAddress) -> BTreeMap<VersionStamp, Vec<NodeAddress>> {
        let cursor = self.cursors.entry(peer).or_default();
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        let mut count = 0;
        for (sequence, node) in self.by_sequence.range(*cursor + 1..) {
            if count == MAX_REPORTED_NODES {
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

    /// Discards what was sent to and received from a peer whose link closed.
    pub fn reset_peer(&mut self, peer: &NodeAddress) {
        self.cursors.remove(peer);
        // The peer may have restarted and lost the reports it sent.
        for entry in self.entries.values_mut() {
            entry.sources.retain(|source| source != peer);
        }
    }

    /// Returns the highest version that each node is known to have applied, by address.
    pub fn entries(&self) -> impl Iterator<Item = (NodeAddress, VersionStamp)> {
        let entries = self.entries.iter();
        entries.map(|(node, entry)| (*node, entry.stamp))
    }

    fn update_entry(
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
            self.by_sequence.remove(&entry.sequence);
        } else if self.entries.len() >= MAX_NODES {
            return;
        }
        self.sequence += 1;
        self.by_sequence.insert(self.sequence, node);
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
    /// Returns whether the node restarted since it was reported.
    ///
    /// Incarnation 0, of entries known only from the instance list, does not indicate a restart.
    fn is_before_restart(&self, current: Option<NodeIncarnation>) -> bool {
        let reported = self.incarnation.filter(|incarnation| incarnation.0 > 0);
        let restarted = |reported: NodeIncarnation| {
            current.is_some_and(|current| current.0 > reported.0 + RESTART_THRESHOLD_MS)
        };
        reported.is_some_and(restarted)
    }
}
