use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::load::AttemptResult;

/// Longest latency that is told from longer ones, in microseconds; no deadline of a profile comes
/// near this hour. The bound is fixed because a saturating record never enlarges a histogram.
const LATENCY_LIMIT: u64 = 3_600_000_000;

/// Counts how the calls of one kind ended.
#[derive(Debug)]
pub struct KindStats {
    sent: u64,
    completed: u64,
    late: u64,
    retries: u64,
    wrong: u64,
    refused: BTreeMap<String, u64>,
    failed: BTreeMap<String, u64>,
    unknown: BTreeMap<String, u64>,
    instances: BTreeMap<String, u64>,
    /// Latencies of right answers in microseconds, late ones included.
    latencies: Histogram<u64>,
}

impl KindStats {
    /// Creates a tally of nothing.
    #[must_use]
    pub fn new() -> KindStats {
        KindStats {
            sent: 0,
            completed: 0,
            late: 0,
            retries: 0,
            wrong: 0,
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            unknown: BTreeMap::new(),
            instances: BTreeMap::new(),
            latencies: Histogram::new_with_bounds(1, LATENCY_LIMIT, 3)
                .expect("the bounds are in order"),
        }
    }

    /// Counts a call that ended the given time after its intended start.
    pub fn add(&mut self, result: &AttemptResult, micros: u64, deadline_ms: u64, retries: u32) {
        self.sent += 1;
        self.retries += u64::from(retries);
        let (codes, code) = match result {
            AttemptResult::Right(instance) => {
                let timely = micros <= deadline_ms * 1_000;
                *(if timely {
                    &mut self.completed
                } else {
                    &mut self.late
                }) += 1;
                self.latencies.saturating_record(micros);
                (&mut self.instances, instance)
            }
            AttemptResult::Wrong => {
                self.wrong += 1;
                return;
            }
            AttemptResult::Refused(code) => (&mut self.refused, code),
            AttemptResult::Failed(code) => (&mut self.failed, code),
            AttemptResult::Unknown(code) => (&mut self.unknown, code),
        };
        *codes.entry(code.clone()).or_default() += 1;
    }

    /// Returns the number of calls that completed in time.
    #[must_use]
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Returns the number of wrong answers.
    #[must_use]
    pub fn wrong(&self) -> u64 {
        self.wrong
    }

    /// Returns the counts and the latencies in ms as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        let quantile = |part: f64| self.latencies.value_at_quantile(part) as f64 / 1_000.0;
        json!({
            "sent": self.sent,
            "completed": self.completed,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "unknown": self.unknown,
            "wrong": self.wrong,
            "retries": self.retries,
            "instances": self.instances,
            "p50_ms": quantile(0.5),
            "p90_ms": quantile(0.9),
            "p99_ms": quantile(0.99),
            "p999_ms": quantile(0.999),
            "max_ms": self.latencies.max() as f64 / 1_000.0,
        })
    }
}

impl Default for KindStats {
    fn default() -> KindStats {
        KindStats::new()
    }
}
