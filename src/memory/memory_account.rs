use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use futures_channel::oneshot;

use crate::clock::{ClockTime, SystemClock};
use crate::logging::LogRateLimiter;
use crate::memory::memory_ledger::EvictedClaims;
use crate::memory::{ClaimId, MemoryClaim, MemoryLedger};
use crate::size::ByteSize;

/// Interval between two log lines about refused or evicted messages.
const LOG_INTERVAL: ClockTime = ClockTime(1_000);

/// The account of a node, on which all messages draw before they are read.
#[derive(Debug)]
pub struct MemoryAccount {
    clock: SystemClock,
    ledger: RefCell<MemoryLedger>,
    /// Senders that tell the owners of incomplete messages that they are evicted.
    owners: RefCell<HashMap<ClaimId, oneshot::Sender<()>>>,
    refused: Cell<u64>,
    evicted: Cell<u64>,
    log: RefCell<LogRateLimiter>,
}

impl MemoryAccount {
    /// Creates an account of `limit` bytes.
    #[must_use]
    pub fn new(clock: SystemClock, limit: ByteSize) -> Rc<Self> {
        Rc::new(Self {
            clock,
            ledger: RefCell::new(MemoryLedger::new(limit.0)),
            owners: RefCell::default(),
            refused: Cell::new(0),
            evicted: Cell::new(0),
            log: RefCell::new(LogRateLimiter::new(LOG_INTERVAL)),
        })
    }

    /// Opens a claim without bytes.
    #[must_use]
    pub fn open(self: &Rc<Self>) -> MemoryClaim {
        let id = self.ledger.borrow_mut().open();
        MemoryClaim::new(Rc::clone(self), id)
    }

    /// Claims bytes for a message; returns `None` if there is no room.
    #[must_use]
    pub fn claim(self: &Rc<Self>, size: u64) -> Option<MemoryClaim> {
        let claim = self.open();
        claim.resize(size).then_some(claim)
    }

    /// Opens the claim of a connection of a client, of which there may be `limit`; returns `None` if
    /// neither it nor another one can be served.
    #[must_use]
    pub fn claim_connection(self: &Rc<Self>, size: u64, limit: usize) -> Option<MemoryClaim> {
        let now = self.clock.now();
        let opened = self.ledger.borrow_mut().open_connection(now, limit);
        let (id, evicted) = opened?;
        self.notify(&evicted.into_iter().collect());
        let claim = MemoryClaim::new(Rc::clone(self), id);
        claim.resize(size).then_some(claim)
    }

    /// Returns the number of connections of clients.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.ledger.borrow().connection_count()
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.ledger.borrow().limit()
    }

    /// Returns the bytes that are claimed.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.ledger.borrow().used()
    }

    /// Returns the number of messages that were refused for lack of room.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.refused.get()
    }

    /// Returns the number of incomplete messages that gave way to others.
    #[must_use]
    pub fn evicted_count(&self) -> u64 {
        self.evicted.get()
    }

    /// Changes the size of a claim; returns false if there is no room.
    pub(super) fn resize(&self, id: ClaimId, size: u64) -> bool {
        let now = self.clock.now();
        let resized = self.ledger.borrow_mut().resize(now, id, size);
        match resized {
            Some(evicted) => {
                self.notify(&evicted);
                true
            }
            None => {
                self.refused.set(self.refused.get() + 1);
                self.log_event("memory_refused", size);
                false
            }
        }
    }

    /// Marks the message of a claim as incomplete; returns the receiver of its eviction.
    pub(super) fn begin(&self, id: ClaimId) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.owners.borrow_mut().insert(id, sender);
        self.record_progress(id);
        receiver
    }

    /// Records that more of an incomplete message has arrived or was sent.
    pub(super) fn record_progress(&self, id: ClaimId) {
        let now = self.clock.now();
        self.ledger.borrow_mut().set_progress(id, Some(now));
    }

    /// Marks the message of a claim as complete.
    pub(super) fn complete(&self, id: ClaimId) {
        self.owners.borrow_mut().remove(&id);
        self.ledger.borrow_mut().set_progress(id, None);
    }

    pub(super) fn split(&self, id: ClaimId, size: u64) -> ClaimId {
        self.ledger.borrow_mut().split(id, size)
    }

    pub(super) fn close(&self, id: ClaimId) {
        self.owners.borrow_mut().remove(&id);
        self.ledger.borrow_mut().close(id);
    }

    fn notify(&self, evicted: &EvictedClaims) {
        for victim in evicted {
            self.evicted.set(self.evicted.get() + 1);
            self.log_event("memory_evicted", 0);
            if let Some(owner) = self.owners.borrow_mut().remove(victim) {
                // An owner that has ended needs no notice.
                let _ = owner.send(());
            }
        }
    }

    fn log_event(&self, event: &str, size: u64) {
        let admitted = self.log.borrow_mut().admit(event, self.clock.now());
        if let Some(suppressed) = admitted {
            let (used, limit) = (self.used(), self.limit());
            log::warn!(
                "event={event} size={size} used={used} limit={limit} suppressed={suppressed}"
            );
        }
    }
}
