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

/// Number of refresh intervals in the shortest propagation bound, so that a change arrives within
/// the bound even if one read is slow.
const INTERVALS_PER_BOUND: u64 = 4;
/// Age, in refresh intervals, at which the node stops relying on its parent and reads the registry
/// itself. The remaining intervals of the bound leave time for that read.
const MAX_UNCONFIRMED_INTERVALS: f64 = 2.5;
/// Mean delay after the first failed refresh; it doubles with each further failure.
const INITIAL_BACKOFF: ClockTime = ClockTime(50);
/// Upper limit of the mean delay between failed refreshes.
const MAX_BACKOFF: ClockTime = ClockTime(800);
/// Time that the parent has to obtain its first configuration, which it may have to read from the
/// registry.
const INITIAL_CONFIG_WAIT: ClockTime = ClockTime(1_000);

/// Task that synchronizes the node's view of the mesh with the registry, either directly or through
/// another node.
pub(crate) struct MeshSyncTask {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) adapter: Rc<dyn PlatformAdapter>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) updater: MeshUpdater,
    pub(crate) views: ViewClient,
    /// Cursor of the last reply that was applied, by node.
    pub(crate) cursors: RefCell<HashMap<IpAddr, ViewCursor>>,
    /// Position up to which the registry has been read; `None` if a full read is required.
    pub(crate) position: Cell<Option<u64>>,
    /// Set while the endpoints of a full read have been applied and the configuration has not.
    pub(crate) pending_config_read: Cell<Option<PendingConfigRead>>,
    /// Consecutive failed refreshes.
    pub(crate) failures: Cell<u32>,
    pub(crate) registry_unreachable: Cell<bool>,
}

/// A full read of the registry whose endpoints are known and whose configuration is not.
///
/// The position takes effect only once both parts are known: a node that watched from it earlier
/// would miss a configuration published before that position.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingConfigRead {
    started_at: ClockTime,
    position: u64,
}

/// The source of the next refresh.
#[derive(Debug, Clone, Copy)]
enum ViewSource {
    Registry,
    Node(IpAddr),
    /// The registry or a random node, whichever succeeds first.
    Any,
}

impl MeshSyncTask {
    /// Runs the synchronization loop until the stop signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let syncing = pin!(self.sync_loop());
        let stopped = pin!(stop.wait());
        match future::select(syncing, stopped).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn sync_loop(&self) {
        loop {
            let started_at = self.state.clock.now();
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
                        self.wait_for_next_interval(started_at).await;
                    }
                }
                // The view may be too old by now to wait any longer, so all sources are queried
                // without a delay.
                (Err(()), ViewSource::Node(_)) => self.failures.set(1),
                (Err(()), _) => self.back_off().await,
            }
        }
    }

    /// Selects the source of the next refresh: the parent in the distribution tree while the view
    /// is fresh, otherwise the registry. After a failure, all sources are queried concurrently.
    fn next_source(&self) -> ViewSource {
        if self.failures.get() > 0 {
            return ViewSource::Any;
        }
        let is_fresh = self.remaining_freshness() > ClockTime(0);
        let has_pending_config = self.pending_config_read.get().is_some();
        match self.parent() {
            Some(address) if is_fresh || has_pending_config => ViewSource::Node(address),
            _ => ViewSource::Registry,
        }
    }

    /// Returns the time until the registry must be read unless the parent refreshes the view.
    fn remaining_freshness(&self) -> ClockTime {
        let max_age = ClockTime((self.interval().as_f64() * MAX_UNCONFIRMED_INTERVALS) as u64);
        self.state.age().map_or(ClockTime(0), |age| max_age - age)
    }

    /// Queries the registry and a random node concurrently; the first success is sufficient.
    async fn query_any(&self) -> std::result::Result<(), ()> {
        let registry = pin!(async {
            if self.state.config().is_none() {
                // Spreads the configuration reads of a restarted fleet, whose nodes would otherwise
                // all read simultaneously.
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

    /// Returns the parent of this node in the distribution tree of its region.
    fn parent(&self) -> Option<IpAddr> {
        let regions = &self.settings.regions;
        let region = regions.get(&self.settings.zone)?;
        let directory = self.state.directory.borrow();
        let tree = ViewTree::new(&directory, |zone| regions.get(zone).cloned(), region);
        let local_ip = self.settings.endpoint.ip();
        tree.parent(local_ip).filter(|address| *address != local_ip)
    }

    fn random_node(&self) -> Option<IpAddr> {
        let local_ip = self.settings.endpoint.ip();
        let directory = self.state.directory.borrow();
        let known = directory.records().map(|record| record.address.ip());
        let nodes: Vec<IpAddr> = known
            .chain(self.settings.seeds.iter().copied())
            .filter(|address| *address != local_ip)
            .collect();
        nodes.choose(&mut rand::rng()).copied()
    }

    async fn read_registry(&self) -> std::result::Result<(), ()> {
        let metrics = &self.state.metrics;
        match self.try_read_registry().await {
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
                // A full read needs no history, so this recursion ends after one step.
                Box::pin(self.read_registry()).await
            }
            Err(error) => {
                metrics.record_registry_read("failed");
                // After an outage, the changes may no longer fit into one response, so the next
                // read is a full one.
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

    /// Reads the changes since the last position, or all endpoints and then the configuration.
    ///
    /// A node without a configuration requests it from its parent first and reads it from the
    /// registry only if the parent fails.
    async fn try_read_registry(&self) -> Result<()> {
        let transfer = self.settings.registry_transfer_time;
        let source = self.adapter.registry(self.state.registry(), transfer);
        if let Some(pending) = self.pending_config_read.get() {
            return self.read_config(source.as_ref(), pending).await;
        }
        let started_at = self.state.clock.now();
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
        let pending = PendingConfigRead {
            started_at,
            position: read.position,
        };
        self.pending_config_read.set(Some(pending));
        self.updater.apply(read);
        let is_first = self.state.config().is_none() && self.failures.get() == 0;
        if is_first && self.parent().is_some() {
            return Ok(());
        }
        self.read_config(source.as_ref(), pending).await
    }

    /// Ends a registry outage and starts the window in which endpoints may register again.
    ///
    /// Must be called before the first response after the outage is applied, which may lack entries
    /// that expired in the meantime.
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
        pending: PendingConfigRead,
    ) -> Result<()> {
        if let Some(config) = source.config().await? {
            self.updater.install(&config);
        }
        self.updater.advance(pending.position);
        self.position.set(Some(pending.position));
        self.pending_config_read.set(None);
        self.state.mark_fresh(pending.started_at);
        Ok(())
    }

    async fn query_node(&self, address: IpAddr) -> std::result::Result<(), ()> {
        let request = ViewRequest {
            cursor: self.cursors.borrow().get(&address).copied(),
            version: self.state.config().map(|config| config.version()),
            age: self.state.age().unwrap_or(ClockTime(u64::MAX)),
            wait: match self.pending_config_read.get() {
                Some(_) => INITIAL_CONFIG_WAIT,
                None => self.remaining_freshness(),
            },
        };
        let previous_read_at = self.state.read_at();
        let metrics = &self.state.metrics;
        match self.views.fetch(address, &request).await {
            Ok(reply) => {
                self.apply_reply(address, reply);
                // A reply that is no fresher counts as a failure, so that all sources are queried
                // next.
                if self.state.read_at() > previous_read_at {
                    metrics.record_view_query("fresher");
                    Ok(())
                } else {
                    metrics.record_view_query("not_fresher");
                    Err(())
                }
            }
            Err(error) => {
                metrics.record_view_query("failed");
                log::info!("event=view_source_lost node={address} cause=\"{error}\"");
                Err(())
            }
        }
    }

    /// Applies the view of another node unless the local view is newer.
    fn apply_reply(&self, address: IpAddr, reply: ViewReply) {
        let Some(age) = reply.age else {
            return;
        };
        let now = self.state.clock.now();
        let updated = reply
            .config
            .as_ref()
            .map_or(Ok(()), |compressed| self.updater.update_config(compressed));
        if let Err(error) = updated {
            // The view stays unconfirmed, so the configuration is requested again.
            log::error!("event=config_refused node={address} cause=\"{error}\"");
            return;
        }
        let installed = self.state.config().map(|config| config.version());
        if installed < reply.version {
            log::warn!("event=config_not_received node={address}");
            return;
        }
        let pending = self.pending_config_read.get();
        if let Some(pending) = pending.filter(|pending| reply.position < pending.position) {
            // The local endpoint list is newer; only the configuration was missing. Watching
            // resumes at the older position, which the configuration reflects.
            self.updater.advance(reply.position);
            self.position.set(Some(reply.position));
            self.pending_config_read.set(None);
            self.state.mark_fresh(pending.started_at.min(now - age));
            return;
        }
        if reply.position < self.state.directory.borrow().position() {
            return;
        }
        let (cursor, position) = (reply.cursor, reply.position);
        self.updater.merge_view(reply);
        self.cursors.borrow_mut().insert(address, cursor);
        self.position.set(Some(position));
        self.pending_config_read.set(None);
        self.state.mark_fresh(now - age);
    }

    /// Waits until the next refresh is due. Most registry changes are heartbeats without new
    /// content, so waiting collects them in one read.
    async fn wait_for_next_interval(&self, started_at: ClockTime) {
        let due = started_at + self.interval();
        let remaining = due - self.state.clock.now();
        time::sleep(remaining.to_duration()).await;
    }

    /// Waits after a failure, with exponential backoff and jitter.
    async fn back_off(&self) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let mean_delay = ClockTime(INITIAL_BACKOFF.0 << failures.min(6)).min(MAX_BACKOFF);
        let jitter = rand::random_range(0.5..1.5);
        let delay = ClockTime((mean_delay.as_f64() * jitter) as u64);
        time::sleep(delay.to_duration()).await;
    }

    /// Returns the refresh interval.
    fn interval(&self) -> ClockTime {
        let bounds = self.state.bounds();
        let bound = bounds.config_apply.min(bounds.drain);
        ClockTime(bound.0 / INTERVALS_PER_BOUND)
    }
}
