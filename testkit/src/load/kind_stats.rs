use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::load::AttemptResult;

/// Upper bound of the latency histogram, in microseconds; one hour is far above the deadlines of
/// all profiles. The bound is fixed because `saturating_record` does not resize a histogram.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Results and latencies of the calls of one kind.
#[derive(Debug)]
pub struct KindStats {
    sent: u64,
    completed: u64,
    late: u64,
    retries: u64,
    incorrect: u64,
    refused: BTreeMap<String, u64>,
    failed: BTreeMap<String, u64>,
    unknown: BTreeMap<String, u64>,
    instances: BTreeMap<String, u64>,
    /// Latencies of correct responses in microseconds, including late ones.
    latencies: Histogram<u64>,
}

impl KindStats {
    /// Creates empty statistics.
    #[must_use]
    pub fn new() -> KindStats {
        KindStats {
            sent: 0,
            completed: 0,
            late: 0,
            retries: 0,
            incorrect: 0,
            refused: BTreeMap::new(),
            failed: BTreeMap::new(),
            unknown: BTreeMap::new(),
            instances: BTreeMap::new(),
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("histogram bounds are valid"),
        }
    }

    /// Records a call that ended `latency_us` after its intended start.
    pub fn record(
        &mut self,
        result: &AttemptResult,
        latency_us: u64,
        deadline_ms: u64,
        retries: u32,
    ) {
        self.sent += 1;
        self.retries += u64::from(retries);
        let (counts, code) = match result {
            AttemptResult::Correct(instance) => {
                let in_time = latency_us <= deadline_ms * 1_000;
                *(if in_time {
                    &mut self.completed
                } else {
                    &mut self.late
                }) += 1;
                self.latencies.saturating_record(latency_us);
                (&mut self.instances, instance)
            }
            AttemptResult::Incorrect => {
                self.incorrect += 1;
                return;
            }
            AttemptResult::Refused(code) => (&mut self.refused, code),
            AttemptResult::Failed(code) => (&mut self.failed, code),
            AttemptResult::Unknown(code) => (&mut self.unknown, code),
        };
        *counts.entry(code.clone()).or_default() += 1;
    }

    /// Returns the number of calls that completed before their deadlines.
    #[must_use]
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Returns the number of incorrect responses.
    #[must_use]
    pub fn incorrect(&self) -> u64 {
        self.incorrect
    }

    /// Returns the counts, and the latency quantiles in ms, as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        let quantile = |fraction: f64| self.latencies.value_at_quantile(fraction) as f64 / 1_000.0;
        json!({
            "sent": self.sent,
            "completed": self.completed,
            "late": self.late,
            "refused": self.refused,
            "failed": self.failed,
            "unknown": self.unknown,
            "wrong": self.incorrect,
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
