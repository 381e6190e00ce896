use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::clock::ClockTime;
use crate::id::KindName;
use crate::retry::RetryBudget;
use crate::retry::call_window::CallWindow;

/// Percentile of the latency of a kind after which a call is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Samples of a kind before its calls are hedged.
const LEAST_SAMPLES: u64 = 20;
/// Samples after which the older generation is dropped.
const GENERATION_SAMPLES: u64 = 500;
/// Largest latency that is told apart, in µs.
const LONGEST_US: u64 = 600_000_000;

/// Describes a call that may be hedged.
#[derive(Debug, Clone, Copy)]
pub struct HedgeCall<'a> {
    /// Kind of the call.
    pub kind: &'a KindName,
    /// Whether the kind is idempotent.
    pub idempotent: bool,
    /// Number of resends so far.
    pub attempt: u8,
    /// Number of nodes that entered the call before.
    pub depth: u8,
}

#[derive(Debug)]
struct KindLatency {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    delay_us: u64,
}

/// Decides when an idempotent call is sent a second time to another endpoint.
///
/// Latencies are kept in two generations of 500 samples, so the percentile follows changes and
/// old samples lose all influence after at most 1,000 calls.
#[derive(Debug, Default)]
pub struct HedgePolicy {
    kinds: HashMap<KindName, KindLatency>,
    window: CallWindow,
}

impl HedgePolicy {
    /// Records a call that is not itself a hedge.
    pub fn record_call(&mut self, now: ClockTime) {
        self.window.add(now, 1, 0);
    }

    /// Records the latency of a whole answer in fractional ms.
    pub fn record_latency(&mut self, kind: &KindName, latency_ms: f64) {
        if !self.kinds.contains_key(kind) {
            let Ok(empty) = Histogram::new_with_bounds(1, LONGEST_US, 2) else {
                return;
            };
            let fresh = KindLatency {
                current: empty.clone(),
                previous: empty,
                delay_us: 0,
            };
            self.kinds.insert(kind.clone(), fresh);
        }
        let Some(latency) = self.kinds.get_mut(kind) else {
            return;
        };
        let micros = (latency_ms * 1_000.0) as u64;
        latency
            .current
            .saturating_record(micros.clamp(1, LONGEST_US));
        let count = latency.current.len();
        // The percentile moves little with one sample, so it is computed for every tenth only.
        if count.is_multiple_of(10) {
            let mut merged = latency.current.clone();
            if merged.add(&latency.previous).is_ok() && merged.len() >= LEAST_SAMPLES {
                latency.delay_us = merged.value_at_quantile(HEDGE_QUANTILE);
            }
        }
        if count >= GENERATION_SAMPLES {
            std::mem::swap(&mut latency.current, &mut latency.previous);
            latency.current.reset();
        }
    }

    /// Returns the time after which the call is hedged if no answer has come, rounded up to ms.
    ///
    /// `None` means never: too few samples, not idempotent, a resend, or a deeper hop.
    #[must_use]
    pub fn delay(&self, call: HedgeCall<'_>) -> Option<ClockTime> {
        if !call.idempotent || call.attempt > 0 || call.depth > 0 {
            return None;
        }
        let latency = self.kinds.get(call.kind)?;
        (latency.delay_us > 0).then(|| ClockTime(latency.delay_us.div_ceil(1_000)))
    }

    /// Returns whether a hedge that is due may be sent, and if so counts it.
    ///
    /// Hedges are at most 5% of the calls of the last 10 s and also use the retry budget.
    pub fn try_take(&mut self, now: ClockTime, budget: &mut RetryBudget) -> bool {
        let (calls, hedges) = self.window.totals(now);
        let allowed = (hedges + 1) * 20 <= calls && budget.try_take(now);
        if allowed {
            self.window.add(now, 0, 1);
        }
        allowed
    }
}
