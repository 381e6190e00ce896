use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::clock::ClockTime;
use crate::mesh::{ConfigVersion, DirectoryDelta, MeshConfig};
use crate::sidecar::compressed_config::CompressedConfig;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::view_message::{ConfigUpdate, ViewCursor, ViewEntry, ViewReply, ViewRequest};

/// Longest wait that a sender can ask for.
const MAX_WAIT: ClockTime = ClockTime(5_000);

/// Tells other nodes what this one knows of the mesh.
pub(crate) struct ViewService {
    pub(crate) state: Rc<NodeState>,
    /// Random number of the process.
    pub(crate) process: u64,
    /// The last packed configuration and the versions that it leads from and to.
    pub(crate) packed: RefCell<Option<(ConfigStep, CompressedConfig)>>,
}

/// Is the version that a node holds, and the one that it needs.
type ConfigStep = (Option<ConfigVersion>, ConfigVersion);

impl ViewService {
    /// Answers as soon as the view is fresher than that of the sender.
    pub(crate) async fn handle(&self, request: &ViewRequest) -> ViewReply {
        let now = self.state.clock.now();
        let until = now + request.wait.min(MAX_WAIT);
        let asked = self.state.read_at();
        let is_fresher = self.state.age().is_some_and(|age| age < request.age);
        if !is_fresher {
            while self.state.read_at() == asked {
                let left = until - self.state.clock.now();
                let timer = pin!(time::sleep(left.to_duration()));
                let confirmed = pin!(self.state.wait_for_refresh());
                if let Either::Left(_) = future::select(timer, confirmed).await {
                    break;
                }
            }
        }
        self.reply(request)
    }

    fn reply(&self, request: &ViewRequest) -> ViewReply {
        let directory = self.state.directory.borrow();
        let since = request
            .cursor
            .filter(|cursor| cursor.process == self.process)
            .map(|cursor| cursor.number);
        let DirectoryDelta {
            is_snapshot,
            present,
            removed,
        } = directory.delta(since);
        let entries = present
            .into_iter()
            .map(|(record, missing)| ViewEntry {
                record: record.as_ref().clone(),
                missing,
            })
            .collect();
        let config = self.state.config();
        ViewReply {
            cursor: ViewCursor {
                process: self.process,
                number: directory.generation(),
            },
            position: directory.position(),
            age: self.state.age(),
            version: config.as_ref().map(|config| config.version()),
            config: config
                .filter(|config| Some(config.version()) > request.version)
                .and_then(|config| self.compressed_config(&config, request.version)),
            is_snapshot,
            entries,
            removed,
        }
    }

    /// Returns what a node needs that holds another version.
    ///
    /// The nodes below this one mostly hold the same version, so that one packing serves them.
    fn compressed_config(
        &self,
        config: &MeshConfig,
        held: Option<ConfigVersion>,
    ) -> Option<CompressedConfig> {
        let step = (held, config.version());
        if let Some((packed_step, packed)) = self.packed.borrow().as_ref()
            && *packed_step == step
        {
            return Some(packed.clone());
        }
        let delta = held.and_then(|held| self.state.history.borrow().delta(held, config));
        let update = match delta {
            Some(delta) => ConfigUpdate::Delta(delta),
            None => ConfigUpdate::Snapshot(config.snapshot()),
        };
        match CompressedConfig::encode(&update) {
            Ok(packed) => {
                *self.packed.borrow_mut() = Some((step, packed.clone()));
                Some(packed)
            }
            Err(error) => {
                log::error!(
                    "event=config_not_sent version={} cause=\"{error}\"",
                    config.version()
                );
                None
            }
        }
    }
}
