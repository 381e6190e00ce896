use std::collections::{HashMap, VecDeque};

use crate::mesh::{ConfigDelta, ConfigVersion, MeshConfig, RouteKey};

/// Number of versions for which changes are kept. Nodes request updates several times per second,
/// so only a node that was disconnected falls further behind; it gets the full configuration.
const VERSION_LIMIT: usize = 64;

/// The changes between the configuration versions that a node has installed, as the source of
/// deltas.
///
/// A node that holds an older one of these versions needs only the changed routes. Versions that
/// this node skipped have no delta, because changes that were made and reverted between two
/// installed versions are unknown.
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

    /// Records that `config` has replaced `previous`.
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

    /// Returns the changes from the version `base` to `config`, the installed configuration.
    ///
    /// Returns `None` if this node has not installed `base` or no longer keeps its changes.
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
            services: config.services().cloned().collect(),
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
