use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::ResultCode;
use crate::id::{KindName, ServiceName};

/// Reports one kind of request of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service.
    pub service: ServiceName,
    /// Kind.
    pub kind: KindName,
    /// Share of calls that should be good.
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

    /// Returns the share of the error budget that is left; negative once it is overspent.
    #[must_use]
    pub fn budget_left(&self) -> f64 {
        1.0 - self.long_burn_rate()
    }

    /// Adds the counts of the same kind at another node.
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
