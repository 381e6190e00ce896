use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::time;
use rand::seq::SliceRandom;
use smallvec::SmallVec;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::mesh::{HistoryPosition, RegistryOutage, RegistryRead};
use crate::sidecar::mesh_updater::MeshUpdater;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::refresh_plan::{self, PlannedSource, RefreshPlan, RefreshState, ViewSource};
use crate::sidecar::view_client::ViewClient;
use crate::sidecar::view_message::ViewCursor;
use crate::sidecar::view_trees::{ViewNeighbors, ViewTrees};
use crate::sidecar::{PlatformAdapter, ReaderState, SidecarSettings};

/// Mean delay after the first failed refresh; it doubles with each further failure up to the refresh
/// interval.
const INITIAL_BACKOFF: ClockTime = ClockTime(50);
/// Interval at which a node checks whether missing entries are kept. They are kept for longer than that.
const EXPIRY_CHECK_INTERVAL: ClockTime = ClockTime(250);
/// Time for the first read of the registry, in addition to the transfer of its largest value.
const INITIAL_READ_TIMEOUT: ClockTime = ClockTime(3_000);

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
    pub(crate) position: Cell<Option<HistoryPosition>>,
    /// Set while the endpoints of a full read have been applied and the configuration has not.
    pub(crate) pending_config_read: Cell<Option<PendingConfigRead>>,
    /// Position up to which the endpoints are known while the configuration has changed since.
    pub(crate) lagging_config: Cell<Option<HistoryPosition>>,
    /// The first page of the list of endpoints and the time when it was requested, while a starting
    /// node asks the nodes on it.
    pub(crate) first_page: RefCell<Option<(ClockTime, RegistryRead)>>,
    /// Consecutive failed refreshes.
    pub(crate) failures: Cell<u32>,
    pub(crate) outage: RefCell<RegistryOutage>,
    pub(crate) reader: RefCell<ReaderState>,
    /// The parent that refreshed the view last.
    pub(crate) last_parent: Cell<Option<IpAddr>>,
    pub(crate) trees: RefCell<ViewTrees>,
}

/// A full read of the registry whose endpoints are known and whose configuration is not.
///
/// The position takes effect only once both parts are known: a node that watched from it earlier
/// would miss a configuration published before that position.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingConfigRead {
    pub(crate) started_at: ClockTime,
    pub(crate) position: HistoryPosition,
}

impl MeshSyncTask {
    /// Runs the synchronization loop until the stop signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let syncing = pin!(self.sync_loop());
        let reading = pin!(self.config_loop());
        let expiring = pin!(self.expire_loop());
        let loops = pin!(future::join3(syncing, reading, expiring));
        future::select(loops, pin!(stop.wait())).await;
    }

    /// Removes missing entries as soon as the time for which they are kept is over. A refresh, which may
    /// wait for changes, would remove them up to an interval later.
    async fn expire_loop(&self) {
        loop {
            let until = self.state.directory.borrow().missing_kept_until();
            let pause = match until - self.state.clock.now() {
                ClockTime(0) => EXPIRY_CHECK_INTERVAL,
                left => left,
            };
            time::sleep(pause.to_duration()).await;
            self.updater.expire();
        }
    }

    async fn sync_loop(&self) {
        loop {
            let started_at = self.state.clock.now();
            let reads_registry = self.reads_registry();
            let previous_read_at = self.state.read_at();
            let is_first = self.state.age().is_none();
            let limit = self.refresh_limit();
            let refresh = time::timeout(limit.to_duration(), self.refresh(self.plan(limit)));
            let result = refresh.await.unwrap_or(Err(()));
            if !is_first {
                let age = self.state.clock.now() - previous_read_at;
                self.record_source(reads_registry, age, result);
                self.log_late_refresh(started_at, age, result);
            }
            self.updater.expire();
            match result {
                Ok(ViewSource::Node(address)) => {
                    self.failures.set(0);
                    self.last_parent.set(Some(address));
                }
                Ok(_) => {
                    self.failures.set(0);
                    // Other nodes respond only when their view is fresher, the registry at once.
                    if reads_registry && self.pending_config_read.get().is_none() {
                        self.wait_for_next_interval(started_at).await;
                    }
                }
                Err(()) => self.back_off().await,
            }
        }
    }

    /// Returns the time after which a refresh is planned anew, with other nodes to ask. A source
    /// that does not respond would otherwise delay it.
    fn refresh_limit(&self) -> ClockTime {
        let transfer_time = self.settings.registry_transfer_time;
        match self.state.age() {
            None => transfer_time + INITIAL_READ_TIMEOUT,
            Some(age) => {
                let limit = refresh_plan::refresh_limit(self.interval(), age);
                // Without a position, everything is read again.
                let is_full_read = self.position.get().is_none();
                limit
                    + if is_full_read {
                        transfer_time
                    } else {
                        ClockTime(0)
                    }
            }
        }
    }

    /// Logs a refresh after which other nodes have asked further sources.
    fn log_late_refresh(
        &self,
        started_at: ClockTime,
        age: ClockTime,
        result: std::result::Result<ViewSource, ()>,
    ) {
        if age < self.intervals(refresh_plan::BACKUP_AGE_INTERVALS) {
            return;
        }
        let elapsed = self.state.clock.now() - started_at;
        let source = match result {
            Ok(ViewSource::Node(address)) => address.to_string(),
            Ok(_) => "registry".to_owned(),
            Err(()) => "-".to_owned(),
        };
        let failures = self.failures.get();
        log::info!(
            "event=refresh_late view_age={age} elapsed={elapsed} source={source} failures={failures}"
        );
    }

    /// Records which kind of source has refreshed a view of the given age, of a node that
    /// `reads_registry` or does not do so.
    fn record_source(
        &self,
        reads_registry: bool,
        age: ClockTime,
        result: std::result::Result<ViewSource, ()>,
    ) {
        let now = self.state.clock.now();
        let interval = self.interval();
        let mut reader = self.reader.borrow_mut();
        match (reads_registry, result) {
            (true, Ok(ViewSource::Registry)) | (false, Ok(ViewSource::Node(_)) | Err(())) => {}
            // The parents could not be reached, but the view was not late.
            (false, Ok(_)) if age < self.intervals(refresh_plan::SECOND_PARENT_AGE_INTERVALS) => {}
            (false, Ok(_)) => {
                let neighbors = self.neighbors();
                let region_size = neighbors.region_size;
                if neighbors.parents.is_empty() {
                    // No other node is known, so none could have been asked.
                    return;
                }
                let chance = match neighbors.is_standby {
                    true => 0.0,
                    false => rand::random_range(0.0..1.0),
                };
                reader.record_backup_read(now, interval, region_size, chance);
            }
            // The response shares the link with the configuration that is being received.
            (true, Ok(_)) if self.lagging_config.get().is_some() => {}
            // The registry has not responded in time, or the failure is recorded already.
            (true, _) if reader.reads_registry(now, true) => reader.record_failure(now, interval),
            (true, _) => {}
        }
    }

    /// Asks the planned sources, each after its delay or when all earlier ones have failed; returns
    /// the first one that refreshed the view.
    async fn refresh(&self, plan: RefreshPlan) -> std::result::Result<ViewSource, ()> {
        let started_at = self.state.clock.now();
        let mut planned = plan.into_iter().peekable();
        let mut running = FuturesUnordered::new();
        let mut asked: SmallVec<[IpAddr; 8]> = SmallVec::new();
        let mut waiting: SmallVec<[IpAddr; 8]> = SmallVec::new();
        loop {
            let elapsed = self.state.clock.now() - started_at;
            while let Some(next) = planned.next_if(|next: &PlannedSource| {
                let is_early = next.delay > elapsed;
                !is_early || (running.is_empty() && next.source != ViewSource::DelayedRegistry)
            }) {
                let source = match next.source {
                    ViewSource::FreshestNode => self.freshest_node(&waiting).map(ViewSource::Node),
                    ViewSource::RandomNode => self.random_node(&asked, false).map(ViewSource::Node),
                    ViewSource::RandomFarNode => {
                        self.random_node(&asked, true).map(ViewSource::Node)
                    }
                    source => Some(source),
                };
                let Some(source) = source else {
                    continue;
                };
                if let ViewSource::Node(address) = source {
                    asked.push(address);
                    waiting.push(address);
                }
                running.push(self.query(source));
            }
            if running.is_empty() && planned.peek().is_none() {
                return Err(());
            }
            let next_delay = planned.peek().map(|next| next.delay - elapsed);
            let timer = pin!(async {
                match next_delay {
                    Some(delay) => time::sleep(delay.to_duration()).await,
                    None => future::pending().await,
                }
            });
            let finished = pin!(async {
                match running.is_empty() {
                    true => future::pending().await,
                    false => running.next().await,
                }
            });
            match future::select(finished, timer).await {
                Either::Left((Some((ViewSource::DelayedRegistry, Ok(()))), _)) => {
                    return Ok(ViewSource::Registry);
                }
                Either::Left((Some((source, Ok(()))), _)) => return Ok(source),
                Either::Left((Some((ViewSource::Node(address), Err(()))), _)) => {
                    waiting.retain(|other| *other != address);
                }
                Either::Left(_) | Either::Right(_) => {}
            }
        }
    }

    async fn query(&self, source: ViewSource) -> (ViewSource, std::result::Result<(), ()>) {
        let result = match source {
            ViewSource::Registry | ViewSource::DelayedRegistry => self.read_registry().await,
            ViewSource::Node(address) => self.query_node(address).await,
            ViewSource::FreshestNode | ViewSource::RandomNode | ViewSource::RandomFarNode => {
                Err(())
            }
        };
        (source, result)
    }

    fn plan(&self, limit: ClockTime) -> RefreshPlan {
        let mut neighbors = self.neighbors();
        // Before a parent has responded, the random order spreads the nodes over both trees.
        let last_parent = self.last_parent.get();
        neighbors.parents.shuffle(&mut rand::rng());
        neighbors
            .parents
            .sort_by_key(|parent| Some(*parent) != last_parent);
        refresh_plan::plan_refresh(&RefreshState {
            age: self.state.age(),
            config_age: self.state.config_age().unwrap_or_default(),
            interval: self.interval(),
            reads_registry: self.reads_registry(),
            is_standby: neighbors.is_standby,
            watches_outage: neighbors.is_reader && self.outage.borrow().is_active(),
            lacks_config: self.pending_config_read.get().is_some(),
            parents: &neighbors.parents,
            introduced: &self.introduced_nodes(),
            limit,
            fleet_size: self.state.directory.borrow().len(),
            registry_rate: self.settings.registry_rate.0,
            region_size: neighbors.region_size,
            spread: rand::random_range(0.0..1.0),
            chance: rand::random_range(0.0..1.0),
        })
    }

    pub(crate) fn reads_registry(&self) -> bool {
        let is_reader = self.neighbors().is_reader;
        let now = self.state.clock.now();
        self.reader.borrow().reads_registry(now, is_reader)
    }

    pub(crate) fn neighbors(&self) -> ViewNeighbors {
        let mut trees = self.trees.borrow_mut();
        let neighbors = trees.neighbors(
            &self.state.directory.borrow(),
            &self.settings.regions,
            &self.settings.zone,
            self.settings.endpoint.ip(),
        );
        neighbors.clone()
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
        let mut mean_delay = ClockTime(INITIAL_BACKOFF.0 << failures.min(6)).min(self.interval());
        if self.neighbors().is_reader && self.outage.borrow().is_active() {
            mean_delay = mean_delay.min(ClockTime(self.interval().0 / 4));
        }
        let jitter = rand::random_range(0.5..1.5);
        let delay = ClockTime((mean_delay.as_f64() * jitter) as u64);
        time::sleep(delay.to_duration()).await;
    }

    /// Returns how long a read may wait for changes, so that it ends before further sources are
    /// asked.
    pub(crate) fn watch_time(&self) -> ClockTime {
        let interval = self.interval();
        let age = self.state.age().unwrap_or_default();
        (interval + ClockTime(interval.0 / 4) - age)
            .min(interval)
            .max(ClockTime(interval.0 / 4))
    }

    /// Returns a number of refresh intervals as a time.
    pub(crate) fn intervals(&self, count: f64) -> ClockTime {
        ClockTime((self.interval().as_f64() * count) as u64)
    }

    /// Returns the refresh interval.
    pub(crate) fn interval(&self) -> ClockTime {
        self.state.bounds().refresh_interval()
    }
}
