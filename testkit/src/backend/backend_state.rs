use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};

use crate::backend::{BackendFault, BackendFaultMode};

/// Time over which a cancellation that arrives before its request is remembered.
const EARLY_CANCEL: Duration = Duration::from_secs(2);

/// Holds what changes in a backend server.
#[derive(Debug)]
pub struct BackendState {
    pub(super) start: Instant,
    pub(super) random: StdRng,
    pub(super) running: usize,
    pub(super) fault: Option<(BackendFault, Instant)>,
    /// Running requests by id, with whether they were cancelled.
    pub(super) active: HashMap<String, bool>,
    pub(super) runs: BTreeMap<String, u64>,
    pub(super) requests: u64,
    pub(super) completed: u64,
    pub(super) peak: usize,
    pub(super) violations: u64,
    pub(super) cancelled: u64,
    pub(super) expired: u64,
    pub(super) after_drain: u64,
    pub(super) last_after_drain_ms: u64,
    early: VecDeque<(Instant, String)>,
    loads: VecDeque<(Instant, usize)>,
}

impl BackendState {
    /// Makes the state of a backend server that starts now.
    #[must_use]
    pub fn new(seed: u64) -> BackendState {
        BackendState {
            start: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            running: 0,
            fault: None,
            active: HashMap::new(),
            runs: BTreeMap::new(),
            requests: 0,
            completed: 0,
            peak: 0,
            violations: 0,
            cancelled: 0,
            expired: 0,
            after_drain: 0,
            last_after_drain_ms: 0,
            early: VecDeque::new(),
            loads: VecDeque::new(),
        }
    }

    /// Returns the fault in force and the time since it was set.
    #[must_use]
    pub fn fault(&self) -> Option<(&BackendFault, Duration)> {
        let (fault, since) = self.fault.as_ref()?;
        let age = since.elapsed();
        let over = fault
            .for_ms
            .is_some_and(|time| age >= Duration::from_millis(time));
        (!over && fault.mode != BackendFaultMode::None).then_some((fault, age))
    }

    /// Returns whether the fault in force has the mode.
    #[must_use]
    pub fn has_mode(&self, mode: BackendFaultMode) -> bool {
        self.fault().is_some_and(|(fault, _)| fault.mode == mode)
    }

    /// Changes the number of running requests.
    pub fn set_running(&mut self, running: usize, lag: Duration) {
        self.running = running;
        self.peak = self.peak.max(running);
        let now = Instant::now();
        self.loads.push_back((now, running));
        // The last entry before the lag is the one that is reported.
        while self
            .loads
            .get(1)
            .is_some_and(|(time, _)| *time + lag <= now)
        {
            self.loads.pop_front();
        }
    }

    /// Returns the number of running requests as it was before the lag.
    #[must_use]
    pub fn late_load(&self, lag: Duration) -> usize {
        let now = Instant::now();
        let known = self.loads.iter().rev().find(|(time, _)| *time + lag <= now);
        known.map_or(0, |(_, running)| *running)
    }

    /// Cancels a request; returns whether it runs.
    pub fn cancel(&mut self, id: &str) -> bool {
        if let Some(cancelled) = self.active.get_mut(id) {
            *cancelled = true;
            return true;
        }
        let now = Instant::now();
        self.early.retain(|(time, _)| *time + EARLY_CANCEL > now);
        self.early.push_back((now, id.to_owned()));
        false
    }

    /// Returns whether a request was cancelled before it arrived, and forgets it.
    pub fn take_early(&mut self, id: &str) -> bool {
        let now = Instant::now();
        let found = self.early.iter().position(|(_, key)| key == id);
        let entry = found.and_then(|index| self.early.remove(index));
        entry.is_some_and(|(time, _)| time + EARLY_CANCEL > now)
    }

    /// Returns the counters as JSON.
    #[must_use]
    pub fn report(&self, connections_peak: u64) -> Value {
        json!({
            "requests": self.requests,
            "completed": self.completed,
            "running": self.running,
            "running_peak": self.peak,
            "slot_violations": self.violations,
            "connections_peak": connections_peak,
            "cancelled": self.cancelled,
            "expired": self.expired,
            "requests_after_drain": self.after_drain,
            "last_request_after_drain_ms": self.last_after_drain_ms,
            "keys": self.runs.len(),
        })
    }
}
