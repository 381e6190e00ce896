use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::ResultCode;
use crate::id::{KindName, ServiceName};

/// Counts of good and bad calls for one kind of request of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Name of the service.
    pub service: ServiceName,
    /// Kind of request.
    pub kind: KindName,
    /// Service-level objective: the ratio of calls that should be good.
    pub objective: f64,
    /// Calls in the short window.
    pub short_calls: u64,
    /// Bad calls in the short window.
    pub short_bad: u64,
    /// Calls in the long window.
    pub long_calls: u64,
    /// Bad calls in the long window.
    pub long_bad: u64,
    /// Bad calls in the long window by result code.
    pub bad_by_code: BTreeMap<ResultCode, u64>,
}

impl BurnRow {
    /// Returns the burn rate over the short window.
    #[must_use]
    pub fn short_burn_rate(&self) -> f64 {
        burn_rate(self.short_bad, self.short_calls, self.objective)
    }

    /// Returns the burn rate over the long window.
    #[must_use]
    pub fn long_burn_rate(&self) -> f64 {
        burn_rate(self.long_bad, self.long_calls, self.objective)
    }

    /// Returns the fraction of the error budget that remains; negative if it is exceeded.
    #[must_use]
    pub fn budget_left(&self) -> f64 {
        1.0 - self.long_burn_rate()
    }

    /// Adds the counts of another node for the same service and kind.
    pub fn add(&mut self, other: &Self) {
        self.short_calls += other.short_calls;
        self.short_bad += other.short_bad;
        self.long_calls += other.long_calls;
        self.long_bad += other.long_bad;
        for (code, count) in &other.bad_by_code {
            *self.bad_by_code.entry(*code).or_default() += count;
        }
    }
}

fn burn_rate(bad: u64, calls: u64, objective: f64) -> f64 {
    if calls == 0 {
        return 0.0;
    }
    (bad as f64 / calls as f64) / (1.0 - objective)
}
