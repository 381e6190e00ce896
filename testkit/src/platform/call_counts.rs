use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::{Value, json};

/// Counts the calls that the platform stand-in served.
#[derive(Debug)]
pub struct CallCounts {
    start: Instant,
    paths: BTreeMap<String, u64>,
    held: u64,
    bytes: u64,
    second: u64,
    current: u64,
    peak: u64,
}

impl CallCounts {
    /// Makes counts of zero.
    #[must_use]
    pub fn new() -> CallCounts {
        CallCounts {
            start: Instant::now(),
            paths: BTreeMap::new(),
            held: 0,
            bytes: 0,
            second: 0,
            current: 0,
            peak: 0,
        }
    }

    /// Counts a call; a watch is one call however long it waits.
    pub fn started(&mut self, path: &str) {
        *self.paths.entry(path.to_owned()).or_default() += 1;
        let second = self.start.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.current = 0;
        }
        self.current += 1;
        self.peak = self.peak.max(self.current);
    }

    /// Changes the number of watches that wait.
    pub fn hold(&mut self, added: bool) {
        self.held = if added { self.held + 1 } else { self.held - 1 };
    }

    /// Counts bytes sent, heads included.
    pub fn sent(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// Returns the counts as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        json!({
            "calls": self.paths,
            "calls_total": self.paths.values().sum::<u64>(),
            "watches_held": self.held,
            "bytes_out": self.bytes,
            "peak_calls_per_second": self.peak,
            "uptime_ms": self.start.elapsed().as_millis() as u64,
        })
    }
}

impl Default for CallCounts {
    fn default() -> CallCounts {
        CallCounts::new()
    }
}
