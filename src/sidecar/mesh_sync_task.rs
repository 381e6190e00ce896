use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;
use rand::seq::IndexedRandom;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::error::{Result, ResultCode};
use crate::mesh::RegistrySource;
use crate::sidecar::mesh_updater::{self, MeshUpdater};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::view_client::ViewClient;
use crate::sidecar::view_message::{ViewCursor, ViewReply, ViewRequest};
use crate::sidecar::{PlatformAdapter, SidecarSettings, ViewTree};

/// Part of the shortest bound after which the view is confirmed again, so that a change is known
/// well within its bound also when one read is slow.
const INTERVALS_PER_BOUND: u64 = 4;
/// Intervals after which a view that no other node has confirmed is confirmed by a read of the
/// registry; together with that read it stays within the bound.
const MAX_UNCONFIRMED_INTERVALS: f64 = 2.5;
/// First and longest pause after a failed read.
const INITIAL_BACKOFF: ClockTime = ClockTime(50);
const MAX_BACKOFF: ClockTime = ClockTime(800);
/// Time for the node above to get its first configuration, which it may have to read from the
/// registry.
const INITIAL_CONFIG_WAIT: ClockTime = ClockTime(1_000);
/// Keeps the state of the node in step with the registry.
pub(crate) struct MeshSyncTask {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) adapter: Rc<dyn PlatformAdapter>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) updater: MeshUpdater,
    pub(crate) views: ViewClient,
    /// State of each node's view that this node has taken over.
    pub(crate) cursors: RefCell<HashMap<IpAddr, ViewCursor>>,
    /// Position up to which the registry was read; `None` when all endpoints must be read.
    pub(crate) position: Cell<Option<u64>>,
    /// Endpoints that were read, while the configuration has yet to be read.
    pub(crate) pending_config_read: Cell<Option<EndpointSnapshot>>,
    pub(crate) failures: Cell<u32>,
    pub(crate) registry_unreachable: Cell<bool>,
}

/// Is a read of all endpoints that the configuration has yet to follow.
///
/// The state of the node reflects the position only when both are known: a node that went on from
/// there would miss a configuration published before.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointSnapshot {
    begun: ClockTime,
    position: u64,
}

/// Is where the next confirmation of the view comes from.
#[derive(Debug, Clone, Copy)]
enum ViewSource {
    Registry,
    Node(IpAddr),
    /// The registry or any other node, whichever answers first.
    Any,
}

impl MeshSyncTask {
    /// Keeps the view up to date until the signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let reading = pin!(self.sync_loop());
        let stopped = pin!(stop.wait());
        match future::select(reading, stopped).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn sync_loop(&self) {
        loop {
            let begun = self.state.clock.now();
            let source = self.next_source();
            let result = match source {
                ViewSource::Registry => self.read_registry().await,
                ViewSource::Node(address) => self.query_node(address).await,
                ViewSource::Any => self.query_any().await,
            };
            self.updater.expire();
            match (result, source) {
                (Ok(()), ViewSource::Node(_)) => self.failures.set(0),
                (Ok(()), _) => {
                    self.failures.set(0);
                    if self.pending_config_read.get().is_none() {
                        self.wait_for_next_interval(begun).await;
                    }
                }
                // The view has just become too old to wait any longer.
                (Err(()), ViewSource::Node(_)) => self.failures.set(1),
                (Err(()), _) => self.back_off().await,
            }
        }
    }

    /// Chooses the node above in the tree while it keeps the view fresh, else the registry; after
    /// a failure, all that may know more.
    fn next_source(&self) -> ViewSource {
        if self.failures.get() > 0 {
            return ViewSource::Any;
        }
        let is_fresh = self.freshness_left() > ClockTime(0);
        let is_listed = self.pending_config_read.get().is_some();
        match self.parent() {
            Some(address) if is_fresh || is_listed => ViewSource::Node(address),
            _ => ViewSource::Registry,
        }
    }

    /// Returns the time until the view must be confirmed by a read of the registry.
    fn freshness_left(&self) -> ClockTime {
        let trust = ClockTime((self.interval().as_f64() * MAX_UNCONFIRMED_INTERVALS) as u64);
        self.state.age().map_or(ClockTime(0), |age| trust - age)
    }

    async fn query_any(&self) -> std::result::Result<(), ()> {
        let registry = pin!(async {
            if self.state.config().is_none() {
                // A restarted fleet must not read the configuration all at once.
                let delay = self.interval().as_f64() * rand::random_range(0.0..1.0);
                time::sleep(ClockTime(delay as u64).to_duration()).await;
            }
            self.read_registry().await
        });
        let node = pin!(async {
            match self.random_node() {
                Some(address) => self.query_node(address).await,
                None => Err(()),
            }
        });
        match future::select(registry, node).await {
            Either::Left((Ok(()), _)) | Either::Right((Ok(()), _)) => Ok(()),
            Either::Left((Err(()), node)) => node.await,
            Either::Right((Err(()), registry)) => registry.await,
        }
    }

    fn parent(&self) -> Option<IpAddr> {
        let regions = &self.settings.regions;
        let region = regions.get(&self.settings.zone)?;
        let directory = self.state.directory.borrow();
        let tree = ViewTree::new(&directory, |zone| regions.get(zone).cloned(), region);
        let own = self.settings.endpoint.ip();
        tree.parent(own).filter(|address| *address != own)
    }

    fn random_node(&self) -> Option<IpAddr> {
        let own = self.settings.endpoint.ip();
        let directory = self.state.directory.borrow();
        let known = directory.records().map(|record| record.address.ip());
        let nodes: Vec<IpAddr> = known
            .chain(self.settings.seeds.iter().copied())
            .filter(|address| *address != own)
            .collect();
        nodes.choose(&mut rand::rng()).copied()
    }

    async fn read_registry(&self) -> std::result::Result<(), ()> {
        let metrics = &self.state.metrics;
        match self.read().await {
            Ok(()) => {
                metrics.record_registry_read("ok");
                Ok(())
            }
            Err(error) if error.code() == ResultCode::HistoryGone => {
                metrics.record_registry_read("history_gone");
                log::info!(
                    "event=registry_history_gone position={:?}",
                    self.position.get()
                );
                self.position.set(None);
                // The next read takes all endpoints, which cannot meet this error.
                Box::pin(self.read_registry()).await
            }
            Err(error) => {
                metrics.record_registry_read("failed");
                // The changes since then may be too many for one answer.
                self.position.set(None);
                self.pending_config_read.set(None);
                if !self.registry_unreachable.replace(true) {
                    let age = self.state.age().unwrap_or_default();
                    log::warn!("event=registry_lost view_age={age} cause=\"{error}\"");
                }
                Err(())
            }
        }
    }

    /// Reads what has changed, or all endpoints and then the configuration.
    ///
    /// A node that has no configuration leaves that to the node above it, unless that one failed.
    async fn read(&self) -> Result<()> {
        let transfer = self.settings.registry_transfer;
        let source = self.adapter.registry(self.state.registry(), transfer);
        if let Some(listed) = self.pending_config_read.get() {
            return self.read_config(source.as_ref(), listed).await;
        }
        let begun = self.state.clock.now();
        if let Some(position) = self.position.get() {
            let read = source.watch(position, self.interval()).await?;
            self.end_registry_outage();
            let reached = read.position;
            self.position.set(Some(reached));
            self.updater.apply(read);
            self.updater.advance(reached);
            self.state.mark_fresh(self.state.clock.now());
            return Ok(());
        }
        let read = source.endpoints().await?;
        self.end_registry_outage();
        let listed = EndpointSnapshot {
            begun,
            position: read.position,
        };
        self.pending_config_read.set(Some(listed));
        self.updater.apply(read);
        let is_first = self.state.config().is_none() && self.failures.get() == 0;
        if is_first && self.parent().is_some() {
            return Ok(());
        }
        self.read_config(source.as_ref(), listed).await
    }

    /// Lets entries that are missing after an outage of the registry come back; must precede the
    /// changes of the first answer.
    fn end_registry_outage(&self) {
        if self.registry_unreachable.replace(false) {
            log::info!("event=registry_back failures={}", self.failures.get());
            let until = self.state.clock.now() + mesh_updater::REREGISTRATION_WINDOW;
            self.state.directory.borrow_mut().keep_missing_until(until);
        }
    }

    async fn read_config(
        &self,
        source: &dyn RegistrySource,
        listed: EndpointSnapshot,
    ) -> Result<()> {
        if let Some(config) = source.config().await? {
            self.updater.install(&config);
        }
        self.updater.advance(listed.position);
        self.position.set(Some(listed.position));
        self.pending_config_read.set(None);
        self.state.mark_fresh(listed.begun);
        Ok(())
    }

    async fn query_node(&self, address: IpAddr) -> std::result::Result<(), ()> {
        let request = ViewRequest {
            cursor: self.cursors.borrow().get(&address).copied(),
            version: self.state.config().map(|config| config.version()),
            age: self.state.age().unwrap_or(ClockTime(u64::MAX)),
            wait: match self.pending_config_read.get() {
                Some(_) => INITIAL_CONFIG_WAIT,
                None => self.freshness_left(),
            },
        };
        let before = self.state.read_at();
        let metrics = &self.state.metrics;
        match self.views.fetch(address, &request).await {
            Ok(reply) => {
                self.apply_reply(address, reply);
                // An answer that confirms nothing newer leaves the choice to the age of the view.
                if self.state.read_at() > before {
                    metrics.record_view_question("fresher");
                    Ok(())
                } else {
                    metrics.record_view_question("not_fresher");
                    Err(())
                }
            }
            Err(error) => {
                metrics.record_view_question("failed");
                log::info!("event=view_source_lost node={address} cause=\"{error}\"");
                Err(())
            }
        }
    }

    /// Takes over what another node knows, unless the own view is newer.
    fn apply_reply(&self, address: IpAddr, reply: ViewReply) {
        let Some(age) = reply.age else {
            return;
        };
        let now = self.state.clock.now();
        let updated = reply
            .config
            .as_ref()
            .map_or(Ok(()), |packed| self.updater.update_config(packed));
        if let Err(error) = updated {
            // The view is not confirmed, so that the configuration is asked for again.
            log::error!("event=config_refused node={address} cause=\"{error}\"");
            return;
        }
        let held = self.state.config().map(|config| config.version());
        if held < reply.version {
            log::warn!("event=config_not_received node={address}");
            return;
        }
        let listed = self.pending_config_read.get();
        if let Some(listed) = listed.filter(|listed| reply.position < listed.position) {
            // The own list of endpoints is newer, the configuration was the missing part.
            self.updater.advance(reply.position);
            self.position.set(Some(reply.position));
            self.pending_config_read.set(None);
            self.state.mark_fresh(listed.begun.min(now - age));
            return;
        }
        if reply.position < self.state.directory.borrow().position() {
            return;
        }
        let (cursor, position) = (reply.cursor, reply.position);
        self.updater.merge(reply);
        self.cursors.borrow_mut().insert(address, cursor);
        self.position.set(Some(position));
        self.pending_config_read.set(None);
        self.state.mark_fresh(now - age);
    }

    /// Waits until the next read is due, because most changes are reports that change nothing.
    async fn wait_for_next_interval(&self, begun: ClockTime) {
        let due = begun + self.interval();
        let left = due - self.state.clock.now();
        time::sleep(left.to_duration()).await;
    }

    async fn back_off(&self) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let pause = ClockTime(INITIAL_BACKOFF.0 << failures.min(6)).min(MAX_BACKOFF);
        let jitter = rand::random_range(0.5..1.5);
        let pause = ClockTime((pause.as_f64() * jitter) as u64);
        time::sleep(pause.to_duration()).await;
    }

    fn interval(&self) -> ClockTime {
        let bounds = self.state.bounds();
        let bound = bounds.config_apply.min(bounds.drain);
        ClockTime(bound.0 / INTERVALS_PER_BOUND)
    }
}
