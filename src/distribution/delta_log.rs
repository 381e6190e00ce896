use std::collections::{BTreeSet, VecDeque};

use crate::id::ServiceName;
use crate::manifest::Manifest;
use crate::peer::VersionDelta;
use crate::version::VersionStamp;

/// Changes kept.
const MAX_CHANGES: usize = 32;

/// Remembers which services the last changes touched.
///
/// It holds names only: the content of a composed change comes from the version in force.
#[derive(Debug, Clone, Default)]
pub struct DeltaLog {
    changes: VecDeque<(VersionStamp, BTreeSet<ServiceName>)>,
}

impl DeltaLog {
    /// Records the change from one version in force to the next.
    pub fn record(&mut self, delta: &VersionDelta) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        let changed = delta.changed.iter().map(|blob| blob.service.clone());
        let names = changed.chain(delta.removed.iter().cloned()).collect();
        self.changes.push_back((delta.from, names));
    }

    /// Returns the change from `from` to the version in force, or `None` if `from` is too old or
    /// was never in force here.
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
