use std::collections::HashMap;

use hdrhistogram::Histogram;

use crate::clock::ClockTime;
use crate::id::KindName;
use crate::retry::RetryBudget;
use crate::retry::attempt_window::AttemptWindow;

/// Latency quantile of a kind after which a call is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Number of samples of a kind before its calls are hedged.
const MIN_SAMPLES: u64 = 20;
/// Number of samples in one generation of the latency histogram.
const GENERATION_SAMPLES: u64 = 500;
/// Upper bound of the latency histogram.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Call that may be hedged.
#[derive(Debug, Clone, Copy)]
pub struct HedgeCall<'a> {
    /// Kind of the call.
    pub kind: &'a KindName,
    /// Whether the kind is idempotent.
    pub idempotent: bool,
    /// Number of resends so far.
    pub attempt: u8,
    /// Number of entry nodes that the call passed through before this one.
    pub depth: u8,
}

/// Latency samples of one kind, and the hedge delay computed from them.
#[derive(Debug)]
struct KindLatency {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    delay_us: u64,
}

/// Policy for when an idempotent call is sent to a second endpoint.
///
/// Latencies are kept in two generations of 500 samples each. The percentile thereby adapts to
/// changes, and a sample is discarded after at most 1,000 calls.
#[derive(Debug, Default)]
pub struct HedgePolicy {
    kinds: HashMap<KindName, KindLatency>,
    window: AttemptWindow,
}

impl HedgePolicy {
    /// Records a call that is not itself a hedge.
    pub fn record_call(&mut self, now: ClockTime) {
        self.window.add(now, 1, 0);
    }

    /// Records the latency of a complete response in ms.
    pub fn record_latency(&mut self, kind: &KindName, latency_ms: f64) {
        if !self.kinds.contains_key(kind) {
            let Ok(empty) = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2) else {
                return;
            };
            let initial = KindLatency {
                current: empty.clone(),
                previous: empty,
                delay_us: 0,
            };
            self.kinds.insert(kind.clone(), initial);
        }
        let Some(latency) = self.kinds.get_mut(kind) else {
            return;
        };
        let micros = (latency_ms * 1_000.0) as u64;
        latency
            .current
            .saturating_record(micros.clamp(1, MAX_LATENCY_US));
        let count = latency.current.len();
        // A single sample changes the percentile little, so it is computed for every tenth sample.
        if count.is_multiple_of(10) {
            let mut merged = latency.current.clone();
            if merged.add(&latency.previous).is_ok() && merged.len() >= MIN_SAMPLES {
                latency.delay_us = merged.value_at_quantile(HEDGE_QUANTILE);
            }
        }
        if count >= GENERATION_SAMPLES {
            std::mem::swap(&mut latency.current, &mut latency.previous);
            latency.current.reset();
        }
    }

    /// Returns the time without a response after which the call is hedged, rounded up to ms.
    ///
    /// Returns `None` if the call must not be hedged: there are too few samples, its kind is not
    /// idempotent, or it is a resend or not at its first hop.
    #[must_use]
    pub fn delay(&self, call: HedgeCall<'_>) -> Option<ClockTime> {
        if !call.idempotent || call.attempt > 0 || call.depth > 0 {
            return None;
        }
        let latency = self.kinds.get(call.kind)?;
        (latency.delay_us > 0).then(|| ClockTime(latency.delay_us.div_ceil(1_000)))
    }

    /// Returns whether a hedge may be sent now, and if so counts it.
    ///
    /// Hedges are limited to 5% of the calls of the last 10 s and also consume the retry budget.
    pub fn try_take(&mut self, now: ClockTime, budget: &mut RetryBudget) -> bool {
        let (calls, hedges) = self.window.totals(now);
        let allowed = (hedges + 1) * 20 <= calls && budget.try_take(now);
        if allowed {
            self.window.add(now, 0, 1);
        }
        allowed
    }
}
