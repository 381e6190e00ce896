use std::cell::{Cell, RefCell};
use std::sync::Arc;

use crate::clock::{ClockTime, SystemClock};
use crate::mesh::{MeshConfig, ServiceDirectory};

/// Holds what the node knows of the mesh; one event loop owns it.
pub(crate) struct NodeState {
    pub(crate) clock: SystemClock,
    pub(crate) directory: RefCell<ServiceDirectory>,
    config: RefCell<Option<Arc<MeshConfig>>>,
    loaded: Cell<bool>,
    leaving: Cell<bool>,
    /// Time of the last read that confirmed the state.
    read_at: Cell<ClockTime>,
}

impl NodeState {
    pub(crate) fn new(clock: SystemClock) -> Self {
        Self {
            clock,
            directory: RefCell::default(),
            config: RefCell::default(),
            loaded: Cell::new(false),
            leaving: Cell::new(false),
            read_at: Cell::new(ClockTime(0)),
        }
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
        *held = Some(Arc::clone(config));
        true
    }

    /// Records that a read confirmed the state.
    pub(crate) fn confirm(&self, now: ClockTime) {
        self.loaded.set(true);
        self.read_at.set(now);
    }

    /// Returns the time since the last read that confirmed the state.
    pub(crate) fn age(&self) -> ClockTime {
        self.clock.now() - self.read_at.get()
    }

    pub(crate) fn leave(&self) {
        self.leaving.set(true);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns whether new clients should use the node.
    pub(crate) fn is_ready(&self) -> bool {
        self.loaded.get() && !self.leaving.get() && self.config.borrow().is_some()
    }
}
