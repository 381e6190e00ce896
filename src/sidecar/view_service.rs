use std::cell::RefCell;
use std::cmp::Ordering;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::clock::ClockTime;
use crate::introduction::{Introduction, IntroductionReply};
use crate::mesh::{ConfigVersion, DirectoryDelta, MeshConfig};
use crate::sidecar::compressed_config::CompressedConfig;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::view_message::{ConfigUpdate, ViewCursor, ViewEntry, ViewReply, ViewRequest};

/// Maximum wait that a request can specify.
const MAX_WAIT: ClockTime = ClockTime(5_000);

/// Difference in age from which a view is sent at once. Smaller ones come from the network latency
/// in the estimates of the ages.
const MIN_GAIN: ClockTime = ClockTime(25);

/// Service that provides the mesh view of this node to other nodes.
pub(crate) struct ViewService {
    pub(crate) state: Rc<NodeState>,
    /// Random identifier of the process.
    pub(crate) process: u64,
    /// The last compressed update and its start and end versions.
    pub(crate) compressed: RefCell<Option<(VersionStep, CompressedConfig)>>,
}

/// The version that a node holds and the version that it needs.
type VersionStep = (Option<ConfigVersion>, ConfigVersion);

impl ViewService {
    /// Replies as soon as the local view is fresher than that of the requesting node, or when the
    /// requested wait is over.
    pub(crate) async fn handle(&self, request: &ViewRequest) -> ViewReply {
        let now = self.state.clock.now();
        let initial = self.state.view_progress();
        let era = self.state.read_mark().0;
        if request.position.era >= era {
            let sender_read_at = now - request.age;
            let mut fresh_peers = self.state.fresh_peers.borrow_mut();
            fresh_peers.record(request.sender, sender_read_at);
        }
        self.record_child(now, request.sender);
        for report in &request.links {
            self.state.links.borrow_mut().record(now, *report);
        }
        if request.wants_config {
            self.state.request_config(request.position);
        }
        let until = now + request.wait.min(MAX_WAIT);
        let is_fresher = match request.position.era.cmp(&era) {
            Ordering::Less => true,
            Ordering::Equal => {
                let age = self.state.age();
                let version = self.state.config().map(|config| config.version());
                age.is_some_and(|age| age + MIN_GAIN < request.age) || version > request.version
            }
            Ordering::Greater => false,
        };
        let awaits_reply = || match request.wants_config {
            true => self.state.directory.borrow().position() < request.position,
            // A node without a configuration waits for a whole view, whatever else is learned before.
            false => {
                let lacks_view = request.version.is_none() && !self.state.has_view();
                !is_fresher && (self.state.view_progress() == initial || lacks_view)
            }
        };
        while awaits_reply() {
            let remaining = until - self.state.clock.now();
            let timer = pin!(time::sleep(remaining.to_duration()));
            let refreshed = pin!(self.state.wait_for_refresh());
            if let Either::Left(_) = future::select(timer, refreshed).await {
                break;
            }
        }
        self.reply(request, now)
    }

    fn record_child(&self, now: ClockTime, sender: IpAddr) {
        let interval = self.state.bounds().refresh_interval();
        let mut children = self.state.children.borrow_mut();
        children.record_request(now, interval, sender);
    }

    /// Records the node that introduces itself as a source of fresher views.
    pub(crate) fn introduce(&self, introduction: &Introduction) -> IntroductionReply {
        let now = self.state.clock.now();
        if introduction.era >= self.state.read_mark().0 {
            let mut fresh_peers = self.state.fresh_peers.borrow_mut();
            fresh_peers.record(introduction.sender, now - introduction.age);
        }
        let age = self.state.age();
        log::debug!("event=introduction node={}", introduction.sender);
        IntroductionReply { age }
    }

    fn reply(&self, request: &ViewRequest, received_at: ClockTime) -> ViewReply {
        let directory = self.state.directory.borrow();
        let listed_position = directory.listed_position();
        let since = request
            .cursor
            .filter(|cursor| cursor.process == self.process)
            .map(|cursor| cursor.number)
            .max(directory.generation_at(request.position))
            // Endpoints of another era may be unknown to this node, so a delta could not remove them.
            .filter(|_| request.position.era == listed_position.era);
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
        let evacuations = self.state.evacuations.borrow();
        ViewReply {
            cursor: ViewCursor {
                process: self.process,
                number: directory.generation(),
            },
            position: directory.position(),
            listed_position,
            seen_position: directory.seen_position(),
            held: self.state.clock.now() - received_at,
            age: self.state.age(),
            config_age: self.state.config_age(),
            known_for: self.state.known_for(),
            missing_kept_for: directory.missing_kept_until() - self.state.clock.now(),
            version: config.as_ref().map(|config| config.version()),
            config: config
                .filter(|config| Some(config.version()) > request.version)
                .and_then(|config| self.compressed_config(&config, request.version)),
            evacuated: evacuations.zones().map(|(zone, _)| zone.clone()).collect(),
            is_snapshot,
            entries,
            removed,
        }
    }

    /// Returns the update from `held` to `config`, or `None` if it cannot be encoded.
    ///
    /// The children of this node in the distribution tree usually hold the same version, so the
    /// last update is cached.
    fn compressed_config(
        &self,
        config: &MeshConfig,
        held: Option<ConfigVersion>,
    ) -> Option<CompressedConfig> {
        let step = (held, config.version());
        if let Some((cached_step, cached)) = self.compressed.borrow().as_ref()
            && *cached_step == step
        {
            return Some(cached.clone());
        }
        let delta = held.and_then(|held| self.state.history.borrow().delta(held, config));
        let update = match delta {
            Some(delta) => ConfigUpdate::Delta(delta),
            None => ConfigUpdate::Snapshot(config.snapshot()),
        };
        match CompressedConfig::encode(&update) {
            Ok(compressed) => {
                *self.compressed.borrow_mut() = Some((step, compressed.clone()));
                Some(compressed)
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
