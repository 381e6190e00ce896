use std::collections::BTreeMap;

use crate::clock::ClockTime;

/// Difference up to which the deadline of a call is that of its parent: it is passed on in whole
/// milliseconds, twice.
const DEADLINE_TOLERANCE: ClockTime = ClockTime(4);

/// Number of a running request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ParentId(u64);

/// The requests that run at the local endpoint, by which its calls are recognized: a call expires at the
/// deadline of its parent.
#[derive(Debug, Default)]
pub struct ParentTable {
    next_id: u64,
    /// Deadline and priority of each request.
    running: BTreeMap<ParentId, (ClockTime, u8)>,
}

impl ParentTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that starts.
    pub fn begin(&mut self, deadline: ClockTime, priority: u8) -> ParentId {
        let id = ParentId(self.next_id);
        self.next_id += 1;
        self.running.insert(id, (deadline, priority));
        id
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, id: ParentId) {
        self.running.remove(&id);
    }

    /// Returns the priority of the parent of a request with the given deadline, if it seems to be a call.
    #[must_use]
    pub fn parent_priority(&self, deadline: ClockTime) -> Option<u8> {
        let parents = self.running.values();
        parents
            .filter(|(other, _)| (deadline - *other).max(*other - deadline) <= DEADLINE_TOLERANCE)
            .map(|(_, priority)| *priority)
            .min()
    }
}
