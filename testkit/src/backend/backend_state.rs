use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::backend::{BackendFault, BackendFaultMode};

/// Retention time of a cancellation that arrives before its request.
const EARLY_CANCELLATION_TTL: Duration = Duration::from_secs(2);

/// Mutable state of an emulated backend server.
#[derive(Debug)]
pub struct BackendState {
    pub(super) start: Instant,
    pub(super) random: StdRng,
    pub(super) running: usize,
    pub(super) fault: Option<(BackendFault, Instant)>,
    /// Requests being executed, by id, and whether each has been cancelled.
    pub(super) active_requests: HashMap<String, bool>,
    pub(super) runs_by_key: BTreeMap<String, u64>,
    pub(super) requests: u64,
    pub(super) completed: u64,
    pub(super) running_peak: usize,
    pub(super) slot_violations: u64,
    pub(super) cancelled: u64,
    pub(super) expired: u64,
    pub(super) requests_after_drain: u64,
    pub(super) last_after_drain_ms: u64,
    early_cancellations: VecDeque<(Instant, String)>,
    load_history: VecDeque<(Instant, usize)>,
}

impl BackendState {
    /// Creates the state of a backend server that starts now.
    #[must_use]
    pub fn new(seed: u64) -> BackendState {
        BackendState {
            start: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            running: 0,
            fault: None,
            active_requests: HashMap::new(),
            runs_by_key: BTreeMap::new(),
            requests: 0,
            completed: 0,
            running_peak: 0,
            slot_violations: 0,
            cancelled: 0,
            expired: 0,
            requests_after_drain: 0,
            last_after_drain_ms: 0,
            early_cancellations: VecDeque::new(),
            load_history: VecDeque::new(),
        }
    }

    /// Returns the active fault and the time since it was set.
    #[must_use]
    pub fn fault(&self) -> Option<(&BackendFault, Duration)> {
        let (fault, since) = self.fault.as_ref()?;
        let age = since.elapsed();
        let expired = fault
            .for_ms
            .is_some_and(|time| age >= Duration::from_millis(time));
        (!expired && fault.mode != BackendFaultMode::None).then_some((fault, age))
    }

    /// Returns whether the active fault has the given mode.
    #[must_use]
    pub fn has_fault_mode(&self, mode: BackendFaultMode) -> bool {
        self.fault().is_some_and(|(fault, _)| fault.mode == mode)
    }

    /// Sets the number of executing requests and drops load entries that are no longer needed.
    pub fn set_running(&mut self, running: usize, lag: Duration) {
        self.running = running;
        self.running_peak = self.running_peak.max(running);
        let now = Instant::now();
        self.load_history.push_back((now, running));
        // `/load` reports the newest entry that is at least `lag` old, so one such entry is kept.
        while self
            .load_history
            .get(1)
            .is_some_and(|(time, _)| *time + lag <= now)
        {
            self.load_history.pop_front();
        }
    }

    /// Returns the number of requests that were executing `lag` ago.
    #[must_use]
    pub fn lagged_load(&self, lag: Duration) -> usize {
        let now = Instant::now();
        let reported = self
            .load_history
            .iter()
            .rev()
            .find(|(time, _)| *time + lag <= now);
        reported.map_or(0, |(_, running)| *running)
    }

    /// Cancels a request and returns whether it was executing; remembers the cancellation
    /// otherwise.
    pub fn cancel(&mut self, id: &str) -> bool {
        if let Some(cancelled) = self.active_requests.get_mut(id) {
            *cancelled = true;
            return true;
        }
        let now = Instant::now();
        self.early_cancellations
            .retain(|(time, _)| *time + EARLY_CANCELLATION_TTL > now);
        self.early_cancellations.push_back((now, id.to_owned()));
        false
    }

    /// Removes a cancellation that arrived before its request, and returns whether there was an
    /// unexpired one.
    pub fn take_early_cancellation(&mut self, id: &str) -> bool {
        let now = Instant::now();
        let found = self
            .early_cancellations
            .iter()
            .position(|(_, key)| key == id);
        let entry = found.and_then(|index| self.early_cancellations.remove(index));
        entry.is_some_and(|(time, _)| time + EARLY_CANCELLATION_TTL > now)
    }

    /// Returns the counters as JSON.
    #[must_use]
    pub fn report(&self, connections_peak: u64) -> Value {
        json!({
            "requests": self.requests,
            "completed": self.completed,
            "running": self.running,
            "running_peak": self.running_peak,
            "slot_violations": self.slot_violations,
            "connections_peak": connections_peak,
            "cancelled": self.cancelled,
            "expired": self.expired,
            "requests_after_drain": self.requests_after_drain,
            "last_request_after_drain_ms": self.last_after_drain_ms,
            "keys": self.runs_by_key.len(),
        })
    }
}
