use std::collections::{HashSet, VecDeque};

use crate::id::EndpointId;
use crate::mesh::HistoryPosition;

/// Number of changes kept for deltas; a node that is further behind gets the full directory.
const CHANGE_LIMIT: usize = 1_024;

/// The endpoints of a directory in the order in which they changed.
///
/// Each change increments the generation of the directory.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<EndpointId>,
    generation: u64,
    /// Generations that reflected the registry up to a position, in ascending order.
    reached: VecDeque<(HistoryPosition, u64)>,
    /// Generation from which the log lacks no change of the registry.
    complete_since: u64,
}

impl ChangeLog {
    /// Records that an endpoint changed.
    pub(super) fn record(&mut self, id: &EndpointId) {
        self.generation += 1;
        self.changes.push_back(id.clone());
        if self.changes.len() > CHANGE_LIMIT {
            self.changes.pop_front();
        }
    }

    /// Records that the current generation reflects the registry up to a position.
    pub(super) fn record_position(&mut self, position: HistoryPosition) {
        let last = self.reached.back().map(|(_, generation)| *generation);
        if last == Some(self.generation) {
            return;
        }
        self.reached.push_back((position, self.generation));
        if self.reached.len() > CHANGE_LIMIT {
            self.reached.pop_front();
        }
    }

    /// Records that changes may be missing before the current generation.
    pub(super) fn record_gap(&mut self) {
        self.complete_since = self.generation;
        self.reached.clear();
    }

    /// Returns the number of changes so far.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the latest known generation that reflects nothing after a position.
    pub(super) fn generation_at(&self, position: HistoryPosition) -> Option<u64> {
        let count = self
            .reached
            .partition_point(|(reached, _)| *reached <= position);
        let (_, generation) = self.reached.get(count.checked_sub(1)?)?;
        Some(*generation)
    }

    /// Returns the endpoints that changed since a generation, or `None` if not all of them are
    /// known.
    pub(super) fn changed_since(&self, generation: u64) -> Option<HashSet<&EndpointId>> {
        if generation < self.complete_since {
            return None;
        }
        let count = self.generation.checked_sub(generation)?;
        let count = usize::try_from(count).ok()?;
        (count <= self.changes.len()).then(|| self.changes.iter().rev().take(count).collect())
    }
}
