use std::cell::{Cell, RefCell};

use futures_channel::mpsc;

use crate::clock::{ClockTime, SystemClock};
use crate::quarantine::{CrashId, Fingerprint, SuspectEntry, SuspectTable};

/// The requests that this node suspects of crashing endpoints.
#[derive(Debug)]
pub(crate) struct QuarantineState {
    clock: SystemClock,
    table: RefCell<SuspectTable>,
    /// Whether another node has told what it knows since the start of this one.
    is_informed: Cell<bool>,
    wake: RefCell<mpsc::Sender<()>>,
    waiter: RefCell<Option<mpsc::Receiver<()>>>,
}

impl QuarantineState {
    pub(crate) fn new(clock: SystemClock) -> Self {
        let (wake, waiter) = mpsc::channel(1);
        Self {
            clock,
            table: RefCell::default(),
            is_informed: Cell::new(false),
            wake: RefCell::new(wake),
            waiter: RefCell::new(Some(waiter)),
        }
    }

    /// Returns true if no request is suspected, so that none needs a fingerprint.
    pub(crate) fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Returns the number of requests that are kept from endpoints.
    pub(crate) fn count(&self) -> usize {
        self.table.borrow().quarantined_count(self.clock.now())
    }

    /// Returns whether a request is kept from endpoints.
    pub(crate) fn contains(&self, request: &Fingerprint) -> bool {
        let now = self.clock.now();
        self.table.borrow().is_quarantined(now, request)
    }

    /// Returns whether a request is suspected of a crash.
    pub(crate) fn is_suspected(&self, request: &Fingerprint) -> bool {
        self.table.borrow().is_suspected(request)
    }

    /// Records a crash and the requests that were at work.
    pub(crate) fn record_crash(&self, crash: CrashId, suspects: &[Fingerprint]) {
        let now = self.clock.now();
        let begun = self.table.borrow_mut().record_crash(now, crash, suspects);
        log_begun(&begun, "crash");
        self.wake();
    }

    /// Records that a request has run to its end.
    pub(crate) fn record_completion(&self, request: &Fingerprint) {
        let was_quarantined = self.contains(request);
        if self.table.borrow_mut().record_completion(request) {
            log::info!(
                "event=suspicion_refuted fingerprint={request} quarantined={was_quarantined}"
            );
            self.wake();
        }
    }

    /// Merges what another node knows.
    pub(crate) fn merge(&self, entries: Vec<SuspectEntry>) {
        let now = self.clock.now();
        let begun = self.table.borrow_mut().merge(now, entries);
        log_begun(&begun, "node");
        self.wake();
    }

    /// Returns at most `limit` requests of which others are to be told.
    pub(crate) fn take_news(&self, limit: usize) -> Vec<SuspectEntry> {
        let now = self.clock.now();
        self.table.borrow_mut().take_news(now, limit)
    }

    /// Returns at most `limit` suspected requests.
    pub(crate) fn entries(&self, limit: usize) -> Vec<SuspectEntry> {
        self.table.borrow().entries(self.clock.now(), limit)
    }

    /// Returns at most `limit` requests that are kept from endpoints.
    pub(crate) fn quarantined_entries(&self, limit: usize) -> Vec<SuspectEntry> {
        let now = self.clock.now();
        self.table.borrow().quarantined_entries(now, limit)
    }

    /// Forgets the requests whose last crash lies too far back.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        self.table.borrow_mut().expire(now);
    }

    /// Returns whether another node has told what it knows.
    pub(crate) fn is_informed(&self) -> bool {
        self.is_informed.get()
    }

    /// Records that another node has told what it knows.
    pub(crate) fn record_informed(&self) {
        self.is_informed.set(true);
    }

    /// Returns the time since the start of the process.
    pub(crate) fn uptime(&self) -> ClockTime {
        self.clock.uptime()
    }

    fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.wake.borrow_mut().try_send(());
    }

    /// Takes the receiver of wake-ups, of which there is one.
    pub(crate) fn take_waiter(&self) -> Option<mpsc::Receiver<()>> {
        self.waiter.borrow_mut().take()
    }
}

fn log_begun(requests: &[Fingerprint], source: &str) {
    for request in requests {
        log::warn!("event=quarantine_begun fingerprint={request} source={source}");
    }
}
