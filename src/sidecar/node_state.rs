use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures_channel::oneshot;

use crate::clock::{ClockTime, SystemClock};
use crate::error::Result;
use crate::mesh::{ConfigHistory, MeshConfig, ServiceDirectory};
use crate::metrics::SidecarMetrics;
use crate::sidecar::{MeshBounds, SidecarSettings};

/// Holds what the node knows of the mesh; one event loop owns it.
pub(crate) struct NodeState {
    pub(crate) clock: SystemClock,
    pub(crate) metrics: SidecarMetrics,
    pub(crate) directory: RefCell<ServiceDirectory>,
    config: RefCell<Option<Arc<MeshConfig>>>,
    /// Changes between the configurations that were in force.
    pub(crate) history: RefCell<ConfigHistory>,
    loaded: Cell<bool>,
    shutting_down: Cell<bool>,
    /// Time of the last read that confirmed the state.
    read_at: Cell<ClockTime>,
    refresh_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    bounds: RefCell<Rc<MeshBounds>>,
    registry: Cell<SocketAddr>,
}

impl NodeState {
    /// Creates the state of a node that knows nothing yet.
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
            history: RefCell::default(),
            loaded: Cell::new(false),
            shutting_down: Cell::new(false),
            read_at: Cell::new(ClockTime(0)),
            refresh_waiters: RefCell::default(),
            bounds: RefCell::new(Rc::new(settings.bounds.clone())),
            registry: Cell::new(settings.registry),
        })
    }

    /// Puts the settings in force that may change while the node runs; returns whether any did.
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

    /// Puts a configuration in force unless the one in force is as new; returns whether it did.
    pub(crate) fn install(&self, config: &Arc<MeshConfig>) -> bool {
        let mut held = self.config.borrow_mut();
        if held
            .as_ref()
            .is_some_and(|held| held.version() >= config.version())
        {
            return false;
        }
        self.history.borrow_mut().record(held.as_deref(), config);
        *held = Some(Arc::clone(config));
        true
    }

    /// Records that the registry confirmed the state at a time.
    pub(crate) fn mark_fresh(&self, read_at: ClockTime) {
        self.loaded.set(true);
        if read_at <= self.read_at.get() {
            return;
        }
        self.read_at.set(read_at);
        for waiting in self.refresh_waiters.take() {
            // A node that no longer waits needs no notice.
            let _ = waiting.send(());
        }
    }

    /// Returns the time since the registry confirmed the state; `None` if it never did.
    pub(crate) fn age(&self) -> Option<ClockTime> {
        let age = self.clock.now() - self.read_at.get();
        self.loaded.get().then_some(age)
    }

    /// Returns the time of the last read that confirmed the state.
    pub(crate) fn read_at(&self) -> ClockTime {
        self.read_at.get()
    }

    /// Waits until a read confirms the state.
    pub(crate) async fn wait_for_refresh(&self) {
        let (sender, receiver) = oneshot::channel();
        self.refresh_waiters.borrow_mut().push(sender);
        // A dropped sender means that the node ends.
        let _ = receiver.await;
    }

    pub(crate) fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.get()
    }

    /// Returns whether new clients should use the node.
    pub(crate) fn is_ready(&self) -> bool {
        self.loaded.get() && !self.shutting_down.get() && self.config.borrow().is_some()
    }
}
