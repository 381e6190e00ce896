use std::collections::{HashMap, VecDeque};

use crate::mesh::{ConfigDelta, ConfigVersion, MeshConfig, RouteKey};

/// Versions whose changes are remembered: nodes ask several times a second, and a longer row of
/// versions comes from a node that was cut off, which gets the whole configuration.
const VERSION_LIMIT: usize = 64;

/// Remembers which routes changed in the versions that a node has held.
///
/// A node that holds an older one of these versions needs the changed routes only. Versions that
/// this node has skipped are not in the history, because what changed in them and back again is
/// not known.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    versions: VecDeque<ConfigVersion>,
    changes: HashMap<RouteKey, ConfigVersion>,
}

impl ConfigHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a configuration has replaced another one.
    pub fn record(&mut self, previous: Option<&MeshConfig>, config: &MeshConfig) {
        let version = config.version();
        if let Some(previous) = previous {
            let changed = config.rules().filter(|rule| {
                let held = previous.rule(&rule.host, &rule.prefix);
                held.is_none_or(|held| **held != ***rule)
            });
            let changed = changed.map(|rule| rule.key());
            let removed = previous
                .rules()
                .filter(|rule| config.rule(&rule.host, &rule.prefix).is_none())
                .map(|rule| rule.key());
            for key in changed.chain(removed) {
                self.changes.insert(key, version);
            }
        }
        self.versions.push_back(version);
        if self.versions.len() > VERSION_LIMIT {
            self.versions.pop_front();
            let oldest = self.versions[0];
            self.changes.retain(|_, changed| *changed > oldest);
        }
    }

    /// Returns what changed from a version that was held to the one in force; `None` if the
    /// version was not held or is no longer remembered.
    #[must_use]
    pub fn delta(&self, base: ConfigVersion, config: &MeshConfig) -> Option<ConfigDelta> {
        if !self.versions.contains(&base) {
            return None;
        }
        let mut delta = ConfigDelta {
            base,
            version: config.version(),
            limits: config.limits().clone(),
            changed: Vec::new(),
            removed: Vec::new(),
        };
        for (key, _) in self.changes.iter().filter(|(_, changed)| **changed > base) {
            match config.rule(&key.host, &key.prefix) {
                Some(rule) => delta.changed.push(rule.as_ref().clone()),
                None => delta.removed.push(key.clone()),
            }
        }
        Some(delta)
    }
}
