use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::id::KindName;

/// Weight of a new sample in the moving averages of mean and deviation.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Slot time assumed for a kind without samples.
const DEFAULT_SLOT_MS: f64 = 20.0;
/// Slot time assumed for a kind declared as long without samples.
const DEFAULT_LONG_SLOT_MS: f64 = 1_000.0;
/// Slot time relative to the median over all kinds above which a kind is treated as long.
const LONG_RATIO: f64 = 8.0;
/// Time in which the estimate compared with deadlines halves without new samples. Without this
/// decay, a kind that was once too slow for its deadline would always be refused and never measured
/// again.
const ESTIMATE_HALF_LIFE_MS: f64 = 5_000.0;

/// Moving averages of the slot time of one kind, in ms.
#[derive(Debug, Clone, Copy)]
struct KindEstimate {
    mean: f64,
    deviation: f64,
    sampled: ClockTime,
}

/// Estimates of the slot times of calls by kind.
#[derive(Debug, Clone, Default)]
pub struct SlotTimeEstimate {
    kinds: HashMap<KindName, KindEstimate>,
    median: Option<f64>,
}

impl SlotTimeEstimate {
    /// Records the slot time of a finished call in ms.
    pub fn record(&mut self, now: ClockTime, kind: &KindName, slot_ms: f64) {
        let initial = KindEstimate {
            mean: slot_ms,
            deviation: slot_ms / 4.0,
            sampled: now,
        };
        let estimate = self.kinds.entry(kind.clone()).or_insert(initial);
        let error = slot_ms - estimate.mean;
        estimate.mean += error * SAMPLE_WEIGHT;
        estimate.deviation += (error.abs() - estimate.deviation) * SAMPLE_WEIGHT;
        estimate.sampled = now;
        let mut means: Vec<f64> = self.kinds.values().map(|kind| kind.mean).collect();
        means.sort_by(f64::total_cmp);
        self.median = Some(means[(means.len() - 1) / 2]);
    }

    /// Returns whether a kind is treated as long: declared as such, or with a mean slot time above
    /// 8 times the median over all kinds.
    #[must_use]
    pub fn is_long(&self, kind: &KindName, declared_long: bool) -> bool {
        let measured = self.kinds.get(kind).zip(self.median);
        declared_long
            || measured.is_some_and(|(estimate, median)| estimate.mean > median * LONG_RATIO)
    }

    /// Returns the expected slot time in ms. For long kinds this is the mean plus two deviations.
    #[must_use]
    pub fn expected(&self, kind: &KindName, declared_long: bool) -> f64 {
        let Some(estimate) = self.kinds.get(kind) else {
            return if declared_long {
                DEFAULT_LONG_SLOT_MS
            } else {
                DEFAULT_SLOT_MS
            };
        };
        if self.is_long(kind, declared_long) {
            estimate.mean + 2.0 * estimate.deviation
        } else {
            estimate.mean
        }
    }

    /// Returns the slot time to compare with a deadline.
    ///
    /// It is zero for a kind without samples: calls are not refused because of a default value.
    #[must_use]
    pub fn required(&self, now: ClockTime, kind: &KindName, declared_long: bool) -> ClockTime {
        let Some(estimate) = self.kinds.get(kind) else {
            return ClockTime(0);
        };
        let half_lives = (now - estimate.sampled).as_f64() / ESTIMATE_HALF_LIFE_MS;
        ClockTime((self.expected(kind, declared_long) * 0.5_f64.powf(half_lives)) as u64)
    }
}
