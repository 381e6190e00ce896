use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::{Value, json};

/// Counters of the requests that the platform emulator has served.
#[derive(Debug)]
pub struct CallCounts {
    start: Instant,
    calls_by_path: BTreeMap<String, u64>,
    watches_held: u64,
    bytes_sent: u64,
    current_second: u64,
    calls_this_second: u64,
    peak_calls_per_second: u64,
}

impl CallCounts {
    /// Creates counters that start at zero.
    #[must_use]
    pub fn new() -> CallCounts {
        CallCounts {
            start: Instant::now(),
            calls_by_path: BTreeMap::new(),
            watches_held: 0,
            bytes_sent: 0,
            current_second: 0,
            calls_this_second: 0,
            peak_calls_per_second: 0,
        }
    }

    /// Counts a request; a watch is one request regardless of how long it waits.
    pub fn record_request(&mut self, path: &str) {
        *self.calls_by_path.entry(path.to_owned()).or_default() += 1;
        let second = self.start.elapsed().as_secs();
        if second != self.current_second {
            self.current_second = second;
            self.calls_this_second = 0;
        }
        self.calls_this_second += 1;
        self.peak_calls_per_second = self.peak_calls_per_second.max(self.calls_this_second);
    }

    /// Increments the number of waiting watches if `started`, decrements it otherwise.
    pub fn record_watch(&mut self, started: bool) {
        self.watches_held = if started {
            self.watches_held + 1
        } else {
            self.watches_held - 1
        };
    }

    /// Adds sent bytes, including those of response heads.
    pub fn add_bytes_sent(&mut self, bytes: usize) {
        self.bytes_sent += bytes as u64;
    }

    /// Returns the counters as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        json!({
            "calls": self.calls_by_path,
            "calls_total": self.calls_by_path.values().sum::<u64>(),
            "watches_held": self.watches_held,
            "bytes_out": self.bytes_sent,
            "peak_calls_per_second": self.peak_calls_per_second,
            "uptime_ms": self.start.elapsed().as_millis() as u64,
        })
    }
}

impl Default for CallCounts {
    fn default() -> CallCounts {
        CallCounts::new()
    }
}
