use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures_channel::oneshot;

use crate::clock::{ClockTime, SystemClock};
use crate::config_relay::LinkTable;
use crate::error::Result;
use crate::evacuation::EvacuationSet;
use crate::id::{ServiceName, ZoneName};
use crate::introduction::ChildTable;
use crate::leaving::LeavingSet;
use crate::mesh::{
    ConfigHistory, ConfigVersion, HistoryEra, HistoryPosition, MeshConfig, ServiceDirectory,
};
use crate::metrics::SidecarMetrics;
use crate::quarantine::QuarantineState;
use crate::registry_read::LagTimer;
use crate::sidecar::view_origin::ViewOrigin;
use crate::sidecar::view_summary::ViewSummary;
use crate::sidecar::{FreshPeers, MeshBounds, SidecarSettings, StopSchedule};

/// How far the view of a node has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ViewProgress {
    era: HistoryEra,
    read_at: ClockTime,
    version: Option<ConfigVersion>,
    position: HistoryPosition,
    listed_position: HistoryPosition,
}

/// The state of the node and its view of the mesh, owned by a single event loop.
pub(crate) struct NodeState {
    pub(crate) clock: SystemClock,
    pub(crate) metrics: SidecarMetrics,
    pub(crate) directory: RefCell<ServiceDirectory>,
    config: RefCell<Option<Arc<MeshConfig>>>,
    /// Availability zones to whose endpoints nothing is sent.
    pub(crate) evacuations: RefCell<EvacuationSet>,
    /// Endpoints that have told this node that they shut down.
    pub(crate) leaving: RefCell<LeavingSet>,
    /// Requests that are suspected of crashing endpoints.
    pub(crate) quarantine: QuarantineState,
    /// Changes between the configurations that were installed.
    pub(crate) history: RefCell<ConfigHistory>,
    /// Whether the view has been synchronized at least once.
    loaded: Cell<bool>,
    /// Time from which on no removal of an endpoint is unknown to the node.
    known_since: Cell<ClockTime>,
    /// Times of the planned stop, while the node stops.
    stop: Cell<Option<StopSchedule>>,
    /// Era of the registry's history and time up to which the endpoints are known to match it.
    read_mark: Cell<(HistoryEra, ClockTime)>,
    /// The same for the configuration, whose transfer may take longer.
    config_mark: Cell<(HistoryEra, ClockTime)>,
    /// For how long the configuration has lagged behind the endpoints.
    lag_timer: Cell<LagTimer>,
    /// Position up to which another node has asked this one to read the configuration.
    requested_config: Cell<HistoryPosition>,
    /// The nodes with the fastest links whose reports this node has received.
    pub(crate) links: RefCell<LinkTable>,
    /// Source from which `read_mark` was learned.
    origin: Cell<Option<ViewOrigin>>,
    /// Availability zone of the instance.
    pub(crate) zone: ZoneName,
    /// Service of the local endpoint.
    pub(crate) service: ServiceName,
    refresh_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Nodes whose views were the freshest.
    pub(crate) fresh_peers: RefCell<FreshPeers>,
    /// Nodes that may request this node's view.
    pub(crate) children: RefCell<ChildTable>,
    bounds: RefCell<Rc<MeshBounds>>,
    registry: Cell<SocketAddr>,
}

impl NodeState {
    /// Creates the state of a node without a configuration or endpoints.
    ///
    /// # Errors
    ///
    /// `PlatformInvalid` if the metrics cannot be registered.
    pub(crate) fn new(clock: SystemClock, settings: &SidecarSettings) -> Result<Self> {
        Ok(Self {
            metrics: SidecarMetrics::new()?,
            clock,
            directory: RefCell::default(),
            config: RefCell::default(),
            evacuations: RefCell::default(),
            leaving: RefCell::default(),
            quarantine: QuarantineState::new(clock),
            history: RefCell::default(),
            loaded: Cell::new(false),
            known_since: Cell::default(),
            stop: Cell::new(None),
            read_mark: Cell::default(),
            config_mark: Cell::default(),
            lag_timer: Cell::default(),
            requested_config: Cell::default(),
            links: RefCell::default(),
            origin: Cell::default(),
            zone: settings.zone.clone(),
            service: settings.service.clone(),
            refresh_waiters: RefCell::default(),
            fresh_peers: RefCell::default(),
            children: RefCell::default(),
            bounds: RefCell::new(Rc::new(settings.bounds.clone())),
            registry: Cell::new(settings.registry),
        })
    }

    /// Applies the settings that can change without a restart.
    ///
    /// Returns true if any of them changed.
    pub(crate) fn apply_reloadable_settings(&self, settings: &SidecarSettings) -> bool {
        let changed = *self.bounds() != settings.bounds || self.registry.get() != settings.registry;
        if changed {
            *self.bounds.borrow_mut() = Rc::new(settings.bounds.clone());
            self.registry.set(settings.registry);
        }
        changed
    }

    pub(crate) fn bounds(&self) -> Rc<MeshBounds> {
        Rc::clone(&self.bounds.borrow())
    }

    /// Returns the address of the registry.
    pub(crate) fn registry(&self) -> SocketAddr {
        self.registry.get()
    }

    pub(crate) fn config(&self) -> Option<Arc<MeshConfig>> {
        self.config.borrow().clone()
    }

    /// Installs a configuration unless the installed one is at least as new.
    ///
    /// Returns true if the configuration was installed.
    pub(crate) fn install(&self, config: &Arc<MeshConfig>) -> bool {
        let mut installed = self.config.borrow_mut();
        if installed
            .as_ref()
            .is_some_and(|installed| installed.version() >= config.version())
        {
            return false;
        }
        self.history
            .borrow_mut()
            .record(installed.as_deref(), config);
        *installed = Some(Arc::clone(config));
        true
    }

    /// Records that the configuration matches the registry as of `read_at`.
    pub(crate) fn confirm_config(&self, era: HistoryEra, read_at: ClockTime) {
        self.config_mark
            .set(self.config_mark.get().max((era, read_at)));
    }

    /// Records that the endpoints match the registry as of `read_at`, and wakes the waiting tasks.
    ///
    /// A reading of an earlier era is never fresher than one of a later era. Changes are passed on
    /// also if `read_at`, which is a lower bound, does not rise.
    pub(crate) fn mark_fresh(&self, era: HistoryEra, read_at: ClockTime, origin: ViewOrigin) {
        self.loaded.set(true);
        if (era, read_at) > self.read_mark.get() {
            self.read_mark.set((era, read_at));
            self.origin.set(Some(origin));
        }
        self.wake_waiters();
    }

    /// Records whether the configuration lags behind, and wakes the tasks that wait for a refresh.
    pub(crate) fn wake_waiters(&self) {
        let mut timer = self.lag_timer.get();
        timer.update(self.clock.now(), self.directory.borrow().lacks_config());
        self.lag_timer.set(timer);
        for waiter in self.refresh_waiters.take() {
            // Sending fails if the waiting task was dropped.
            let _ = waiter.send(());
        }
    }

    /// Returns how far the view has come.
    pub(crate) fn view_progress(&self) -> ViewProgress {
        let (era, read_at) = self.read_mark.get();
        let config = self.config.borrow();
        let directory = self.directory.borrow();
        ViewProgress {
            era,
            read_at,
            version: config.as_ref().map(|config| config.version()),
            position: directory.position(),
            listed_position: directory.listed_position(),
        }
    }

    /// Returns the age of the configuration, or `None` if the view has never been synchronized.
    pub(crate) fn config_age(&self) -> Option<ClockTime> {
        let age = self.clock.now() - self.config_mark.get().1;
        self.loaded.get().then_some(age)
    }

    /// Returns for how long the node has known of changes that its configuration lacks, or `None` if it
    /// knows of none.
    pub(crate) fn config_lag(&self) -> Option<ClockTime> {
        self.lag_timer.get().lag(self.clock.now())
    }

    /// Records that another node has asked this one to read the configuration up to `position`.
    pub(crate) fn request_config(&self, position: HistoryPosition) {
        let requested = self.requested_config.get().max(position);
        self.requested_config.set(requested);
        self.wake_waiters();
    }

    /// Returns whether another node waits for this one to read the configuration.
    ///
    /// After a restore of the registry, this node follows it to the new era first.
    pub(crate) fn is_config_requested(&self) -> bool {
        let requested = self.requested_config.get();
        let directory = self.directory.borrow();
        directory.position() < requested && directory.listed_position().era >= requested.era
    }

    /// Returns the age of the endpoints, or `None` if the view has never been synchronized.
    pub(crate) fn age(&self) -> Option<ClockTime> {
        let age = self.clock.now() - self.read_at();
        self.loaded.get().then_some(age)
    }

    /// Returns how long the node has known the endpoints without a gap.
    pub(crate) fn known_for(&self) -> ClockTime {
        self.clock.now() - self.known_since.get()
    }

    /// Records that removals of endpoints before `since` may be unknown.
    pub(crate) fn record_known_since(&self, since: ClockTime) {
        self.known_since.set(self.known_since.get().max(since));
    }

    /// Returns the time up to which the endpoints are known to match the registry.
    pub(crate) fn read_at(&self) -> ClockTime {
        self.read_mark.get().1
    }

    /// Returns the era and the time of the last reading of the registry that the endpoints reflect.
    pub(crate) fn read_mark(&self) -> (HistoryEra, ClockTime) {
        self.read_mark.get()
    }

    /// Returns whether the installed configuration is known to be in force, up to the time within
    /// which a newer one applies.
    ///
    /// Only then may the node state that a request is wrong; a newer configuration may allow it.
    pub(crate) fn confirms_config(&self) -> bool {
        let bound = self.bounds().config_apply;
        self.config.borrow().is_some() && self.config_age().is_some_and(|age| age < bound)
    }

    /// Returns what this node knows, for the log.
    pub(crate) fn view_summary(&self) -> ViewSummary {
        let config = self.config.borrow();
        let directory = self.directory.borrow();
        ViewSummary {
            version: config.as_ref().map(|config| config.version()),
            route_count: config.as_ref().map_or(0, |config| config.route_count()),
            position: directory.position(),
            listed_position: directory.listed_position(),
            age: self.age(),
            config_age: self.config_age(),
            origin: self.origin.get(),
        }
    }

    /// Waits for the next refresh of the view.
    pub(crate) async fn wait_for_refresh(&self) {
        let (sender, receiver) = oneshot::channel();
        self.refresh_waiters.borrow_mut().push(sender);
        // The sender is dropped only when the node shuts down.
        let _ = receiver.await;
    }

    /// Records that the node stops.
    pub(crate) fn begin_shutdown(&self, schedule: StopSchedule) {
        self.stop.set(Some(schedule));
    }

    /// Returns the times of the planned stop, or `None` unless the node stops.
    pub(crate) fn stop_schedule(&self) -> Option<StopSchedule> {
        self.stop.get()
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns true if the node has a configuration and the endpoints that go with it.
    pub(crate) fn has_view(&self) -> bool {
        self.loaded.get() && self.config.borrow().is_some()
    }

    /// Returns true if the node accepts new clients.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_view() && !self.is_shutting_down()
    }
}
