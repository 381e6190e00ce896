use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::id::KindName;

/// Weight of a new sample in mean and deviation.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Slot time assumed before samples, in ms.
const SHORT_PRIOR_MS: f64 = 20.0;
/// Slot time assumed before samples of a kind flagged long, in ms.
const LONG_PRIOR_MS: f64 = 1_000.0;
/// Slot time relative to the median of all kinds above which a kind counts as long.
const LONG_RATIO: f64 = 8.0;
/// Time in which an estimate without samples halves for the check against deadlines. Without it a
/// kind that was once too slow for its deadline would be refused forever and never relearned.
const DOUBT_HALF_LIFE_MS: f64 = 5_000.0;

#[derive(Debug, Clone, Copy)]
struct KindEstimate {
    mean: f64,
    deviation: f64,
    sampled: ClockTime,
}

/// Learns how long calls of each kind hold a slot.
#[derive(Debug, Clone, Default)]
pub struct SlotEstimate {
    kinds: HashMap<KindName, KindEstimate>,
    median: Option<f64>,
}

impl SlotEstimate {
    /// Records the slot time of a finished call in ms.
    pub fn record(&mut self, now: ClockTime, kind: &KindName, slot_ms: f64) {
        let first = KindEstimate {
            mean: slot_ms,
            deviation: slot_ms / 4.0,
            sampled: now,
        };
        let estimate = self.kinds.entry(kind.clone()).or_insert(first);
        let error = slot_ms - estimate.mean;
        estimate.mean += error * SAMPLE_WEIGHT;
        estimate.deviation += (error.abs() - estimate.deviation) * SAMPLE_WEIGHT;
        estimate.sampled = now;
        let mut means: Vec<f64> = self.kinds.values().map(|kind| kind.mean).collect();
        means.sort_by(f64::total_cmp);
        self.median = Some(means[(means.len() - 1) / 2]);
    }

    /// Returns whether a kind counts as long: flagged, or learned to be 8 x the median of kinds.
    #[must_use]
    pub fn is_long(&self, kind: &KindName, flagged: bool) -> bool {
        let learned = self.kinds.get(kind).zip(self.median);
        flagged || learned.is_some_and(|(estimate, median)| estimate.mean > median * LONG_RATIO)
    }

    /// Returns the expected slot time in ms; for long kinds the mean plus two deviations.
    #[must_use]
    pub fn expected(&self, kind: &KindName, flagged: bool) -> f64 {
        let Some(estimate) = self.kinds.get(kind) else {
            return if flagged {
                LONG_PRIOR_MS
            } else {
                SHORT_PRIOR_MS
            };
        };
        if self.is_long(kind, flagged) {
            estimate.mean + 2.0 * estimate.deviation
        } else {
            estimate.mean
        }
    }

    /// Returns the slot time to hold against a deadline, in ms.
    ///
    /// It is zero before samples, because a prior is no reason to refuse work.
    #[must_use]
    pub fn required(&self, now: ClockTime, kind: &KindName, flagged: bool) -> ClockTime {
        let Some(estimate) = self.kinds.get(kind) else {
            return ClockTime(0);
        };
        let halves = (now - estimate.sampled).as_f64() / DOUBT_HALF_LIFE_MS;
        ClockTime((self.expected(kind, flagged) * 0.5_f64.powf(halves)) as u64)
    }
}
