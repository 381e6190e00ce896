use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::id::EndpointId;
use crate::mesh::EndpointRecord;

/// Number of removed endpoints that are remembered. An identifier has at most 64 bytes, so they
/// take less than 1 MB. A request for an endpoint that is no longer remembered is rejected by the
/// endpoint itself.
const TOMBSTONE_LIMIT: usize = 4_096;

/// The last record of a removed endpoint.
#[derive(Debug)]
struct Tombstone {
    removal: u64,
    /// Number of the read that removed the endpoint.
    read: u64,
    record: Rc<EndpointRecord>,
}

/// The records of the endpoints that were removed last.
///
/// A late report, or the older view of another node, must not restore such an endpoint.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    records: HashMap<EndpointId, Tombstone>,
    /// The removals in their order; those of endpoints that were restored since have no record.
    removals: VecDeque<(u64, EndpointId)>,
    next_removal: u64,
    /// Number of the read that is being applied.
    read: u64,
}

impl Tombstones {
    /// Returns true if the endpoint was removed.
    pub(super) fn contains(&self, id: &EndpointId) -> bool {
        self.records.contains_key(id)
    }

    /// Returns true if a record must not restore a removed endpoint.
    ///
    /// A read that repeats known changes may contain a removal and then the same record that was known
    /// before. In any other read, an equal record is an older view, or that of the copy from which the
    /// registry was restored.
    pub(super) fn rejects(&self, record: &EndpointRecord) -> bool {
        self.records.get(&record.id).is_some_and(|tombstone| {
            let is_newer = tombstone.record.is_older_than(record);
            let is_older = record.is_older_than(&tombstone.record);
            is_older || (!is_newer && tombstone.read != self.read)
        })
    }

    /// Ends the read that is being applied.
    pub(super) fn end_read(&mut self) {
        self.read += 1;
    }

    /// Remembers a removed endpoint, and forgets the one that was removed first if there are too
    /// many.
    pub(super) fn insert(&mut self, id: &EndpointId, record: Rc<EndpointRecord>) {
        let removal = self.next_removal;
        self.next_removal += 1;
        let tombstone = Tombstone {
            removal,
            read: self.read,
            record,
        };
        self.records.insert(id.clone(), tombstone);
        self.removals.push_back((removal, id.clone()));
        while self.removals.len() > TOMBSTONE_LIMIT {
            let Some((removal, id)) = self.removals.pop_front() else {
                return;
            };
            let is_last = self.records.get(&id).map(|last| last.removal) == Some(removal);
            if is_last {
                self.records.remove(&id);
            }
        }
    }

    /// Forgets an endpoint that is listed again.
    pub(super) fn remove(&mut self, id: &EndpointId) {
        self.records.remove(id);
    }
}
