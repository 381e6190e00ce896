use std::cell::{Cell, Ref, RefCell};
use std::sync::Arc;

use futures_channel::mpsc;

use crate::clock::{ClockTime, PauseDetector, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::manifest::Manifest;
use crate::membership::MemberSnapshot;
use crate::node::ControlEvent;
use crate::once::RouteHistory;
use crate::version::VersionStamp;

/// A longer gap between two clock readings counts as a pause of the process.
const PAUSE_LIMIT: ClockTime = ClockTime(2_000);

/// State shared between call handling and the control task.
///
/// The control task publishes the manifest, the members and readiness here. Call handling reads
/// them and sends back events such as newer versions and unreachable peers.
pub(crate) struct SharedState {
    clock: SystemClock,
    address: NodeAddress,
    manifest: RefCell<Option<Arc<Manifest>>>,
    members: RefCell<Arc<MemberSnapshot>>,
    routes: RefCell<RouteHistory>,
    ready: Cell<bool>,
    leaving: Cell<bool>,
    refusing_new_calls: Cell<bool>,
    pause_detector: RefCell<PauseDetector>,
    unreported_pause: Cell<Option<ClockTime>>,
    events: mpsc::UnboundedSender<ControlEvent>,
}

impl SharedState {
    pub(crate) fn new(
        clock: SystemClock,
        address: NodeAddress,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Self {
        Self {
            clock,
            address,
            manifest: RefCell::default(),
            members: RefCell::default(),
            routes: RefCell::default(),
            ready: Cell::new(false),
            leaving: Cell::new(false),
            refusing_new_calls: Cell::new(false),
            pause_detector: RefCell::new(PauseDetector::new(clock.now(), PAUSE_LIMIT)),
            unreported_pause: Cell::new(None),
            events,
        }
    }

    /// Returns the current time and marks the node as not ready if the process was paused since the
    /// last call.
    ///
    /// Every action that depends on shared state must read the clock through this method, because
    /// after a resume other tasks may run before the next tick of the control task.
    pub(crate) fn observe(&self) -> ClockTime {
        let now = self.clock.now();
        if let Some(gap) = self.pause_detector.borrow_mut().observe(now) {
            self.ready.set(false);
            self.unreported_pause.set(Some(gap));
            self.send_event(ControlEvent::Paused);
        }
        now
    }

    /// Takes the length of a pause that has not been reported to the control state yet.
    pub(crate) fn take_pause(&self) -> Option<ClockTime> {
        self.unreported_pause.take()
    }

    /// Returns the peer address of this node.
    pub(crate) fn address(&self) -> NodeAddress {
        self.address
    }

    /// Returns the manifest that a new call is resolved against.
    ///
    /// # Errors
    ///
    /// Returns `NodeLeaving` if the node no longer accepts new calls, or `NodeNotReady` if it has
    /// no verified version.
    pub(crate) fn manifest_for_new_call(&self) -> Result<Arc<Manifest>> {
        self.observe();
        if self.refusing_new_calls.get() {
            return Err(Error::new(
                ResultCode::NodeLeaving,
                "the node is leaving and takes no new work",
            ));
        }
        self.verified_manifest()
    }

    /// Returns the manifest in force if it is verified as current.
    ///
    /// # Errors
    ///
    /// Returns `NodeNotReady` otherwise.
    pub(crate) fn verified_manifest(&self) -> Result<Arc<Manifest>> {
        self.manifest
            .borrow()
            .clone()
            .filter(|_| self.ready.get())
            .ok_or_else(|| {
                Error::new(
                    ResultCode::NodeNotReady,
                    "the node does not hold a verified version yet",
                )
            })
    }

    /// Returns the manifest in force, verified or not.
    pub(crate) fn manifest(&self) -> Option<Arc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns the version stamp of the manifest in force, or the default stamp without one.
    pub(crate) fn stamp(&self) -> VersionStamp {
        self.manifest
            .borrow()
            .as_ref()
            .map_or_else(VersionStamp::default, |manifest| manifest.stamp())
    }

    pub(crate) fn members(&self) -> Arc<MemberSnapshot> {
        Arc::clone(&self.members.borrow())
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Puts a manifest into force and records which routes it changes.
    pub(crate) fn install(&self, manifest: Arc<Manifest>) {
        let mut routes = self.routes.borrow_mut();
        let old = self.manifest.borrow().clone();
        routes.record_change(self.clock.now(), old.as_deref(), &manifest);
        *self.manifest.borrow_mut() = Some(manifest);
    }

    /// Returns the history of the services that paths were routed to.
    pub(crate) fn routes(&self) -> Ref<'_, RouteHistory> {
        self.routes.borrow()
    }

    pub(crate) fn set_members(&self, members: Arc<MemberSnapshot>) {
        *self.members.borrow_mut() = members;
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Marks the node as leaving. It still accepts calls until [`Self::refuse_new_calls`], because
    /// peers are informed with a delay.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.set(leaving);
    }

    /// Makes the node refuse new calls from now on.
    pub(crate) fn refuse_new_calls(&self) {
        self.refusing_new_calls.set(true);
    }

    /// Notifies the control task if the version of a peer is newer than the one in force.
    pub(crate) fn report_peer_stamp(&self, from: NodeAddress, stamp: VersionStamp) {
        if stamp > self.stamp() {
            self.send_event(ControlEvent::StampSeen { from, stamp });
        }
    }

    /// Sends an event to the control task.
    pub(crate) fn send_event(&self, event: ControlEvent) {
        // Sending fails only after the control task has ended, when events no longer matter.
        let _ = self.events.unbounded_send(event);
    }
}
