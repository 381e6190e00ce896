use std::collections::{BTreeSet, VecDeque};

use crate::id::ServiceName;
use crate::manifest::Manifest;
use crate::peer::VersionDelta;
use crate::version::VersionStamp;

/// Maximum number of changes retained.
const MAX_CHANGES: usize = 32;

/// The services affected by each of the most recent version changes.
///
/// Only names are stored; the content of a composed delta is taken from the version in force.
#[derive(Debug, Clone, Default)]
pub struct DeltaLog {
    changes: VecDeque<(VersionStamp, BTreeSet<ServiceName>)>,
}

impl DeltaLog {
    /// Records the delta from one version in force to the next.
    pub fn record(&mut self, delta: &VersionDelta) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        let changed = delta.changed.iter().map(|blob| blob.service.clone());
        let names = changed.chain(delta.removed.iter().cloned()).collect();
        self.changes.push_back((delta.from, names));
    }

    /// Composes the delta from `from` to `current`, the version in force.
    ///
    /// Returns `None` if `from` is too old or was never in force on this node.
    #[must_use]
    pub fn compose(&self, from: VersionStamp, current: &Manifest) -> Option<VersionDelta> {
        let start = self.changes.iter().position(|(stamp, _)| *stamp == from)?;
        let names: BTreeSet<_> = self
            .changes
            .range(start..)
            .flat_map(|(_, names)| names)
            .collect();
        let mut delta = VersionDelta {
            from,
            to: current.stamp(),
            changed: Vec::new(),
            removed: Vec::new(),
        };
        for name in names {
            match current.pieces().get(name) {
                Some(piece) => delta.changed.push(piece.to_blob()),
                None => delta.removed.push(name.clone()),
            }
        }
        Some(delta)
    }
}
