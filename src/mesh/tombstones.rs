use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use crate::id::EndpointId;
use crate::mesh::EndpointRecord;

/// Number of removed endpoints that are remembered. An identifier has at most 64 bytes, so they
/// take less than 1 MB. A request for an endpoint that is no longer remembered is rejected by the
/// endpoint itself.
const TOMBSTONE_LIMIT: usize = 4_096;

/// The records of the endpoints that were removed last.
///
/// A late report, or the older view of another node, must not restore such an endpoint.
#[derive(Debug, Default)]
pub(super) struct Tombstones {
    records: HashMap<EndpointId, (u64, Rc<EndpointRecord>)>,
    /// The removals in their order; those of endpoints that were restored since have no record.
    removals: VecDeque<(u64, EndpointId)>,
    next_removal: u64,
}

impl Tombstones {
    /// Returns the last record of a removed endpoint.
    pub(super) fn get(&self, id: &EndpointId) -> Option<&Rc<EndpointRecord>> {
        self.records.get(id).map(|(_, record)| record)
    }

    /// Remembers a removed endpoint, and forgets the one that was removed first if there are too
    /// many.
    pub(super) fn insert(&mut self, id: &EndpointId, record: Rc<EndpointRecord>) {
        let removal = self.next_removal;
        self.next_removal += 1;
        self.records.insert(id.clone(), (removal, record));
        self.removals.push_back((removal, id.clone()));
        while self.removals.len() > TOMBSTONE_LIMIT {
            let Some((removal, id)) = self.removals.pop_front() else {
                return;
            };
            let is_last = self.records.get(&id).map(|(last, _)| *last) == Some(removal);
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
