use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::clock::ClockTime;
use crate::mesh::{ConfigVersion, DirectoryDelta, MeshConfig};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::view_message::{ConfigUpdate, ViewEntry, ViewMark, ViewReply, ViewRequest};

/// Longest wait that a sender can ask for.
const MAX_WAIT: ClockTime = ClockTime(5_000);

/// Tells other nodes what this one knows of the mesh.
pub(crate) struct ViewService {
    pub(crate) state: Rc<NodeState>,
    /// Random number of the process.
    pub(crate) process: u64,
}

impl ViewService {
    /// Answers as soon as the view is fresher than that of the sender.
    pub(crate) async fn view(&self, request: &ViewRequest) -> ViewReply {
        let now = self.state.clock.now();
        let until = now + request.wait.min(MAX_WAIT);
        let asked = self.state.read_at();
        let is_fresher = self.state.age().is_some_and(|age| age < request.age);
        if !is_fresher {
            while self.state.read_at() == asked {
                let left = until - self.state.clock.now();
                let timer = pin!(time::sleep(left.to_duration()));
                let confirmed = pin!(self.state.confirmed());
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
            .mark
            .filter(|mark| mark.process == self.process)
            .map(|mark| mark.number);
        let DirectoryDelta {
            is_whole,
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
            mark: ViewMark {
                process: self.process,
                number: directory.number(),
            },
            position: directory.position(),
            age: self.state.age(),
            config: config
                .filter(|config| Some(config.version()) > request.version)
                .map(|config| self.config_update(&config, request.version)),
            is_whole,
            entries,
            removed,
        }
    }

    fn config_update(&self, config: &MeshConfig, held: Option<ConfigVersion>) -> ConfigUpdate {
        let history = self.state.history.borrow();
        match held.and_then(|held| history.delta(held, config)) {
            Some(delta) => ConfigUpdate::Changes(delta),
            None => ConfigUpdate::Whole(config.content()),
        }
    }
}
