use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::id::EndpointId;
use crate::sidecar::forward_message::LoadReport;

/// Weight of the newest sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which a load report has lost most of its meaning and the usual load is expected: a
/// few requests have ended since.
const REPORT_DECAY_MS: f64 = 400.0;
/// Time after which what an endpoint has shown has lost most of its meaning, in ms, so that one that
/// was slow or failed is tried again.
const STATS_DECAY_MS: f64 = 5_000.0;
/// First and longest time for which an endpoint that cannot be reached is passed over.
const BASE_EJECTION_TIME: ClockTime = ClockTime(200);
const MAX_EJECTION_TIME: ClockTime = ClockTime(1_000);
/// Part of its hold time after which an endpoint without a free slot is asked again; it doubles
/// with each further refusal.
const BACKOFF_HOLD_RATIO: f64 = 0.25;
/// Part of the work that a nearly full endpoint takes longer.
const SATURATION_SLOWDOWN: f64 = 0.3;

#[derive(Debug, Clone, Default)]
struct EndpointEntry {
    in_flight: u32,
    slowness: Option<f64>,
    failure_rate: f64,
    failed_at: ClockTime,
    latency: Option<f64>,
    report: LoadReport,
    /// Mean of the requests that reports show as running or waiting.
    mean_outstanding: f64,
    reported_at: ClockTime,
    sent_since: u32,
    ejected_until: ClockTime,
    ejections: u32,
    /// Refusals for want of a slot since the last answer, and the time of the last one.
    refusals: u32,
    refused_at: ClockTime,
}

/// Is what a request can expect of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointForecast {
    /// Mean time until the answer, in ms.
    pub(crate) response_time: f64,
    /// Mean wait for a slot, in ms.
    pub(crate) wait: f64,
    /// Part of the requests that fail.
    pub(crate) failure_rate: f64,
}

/// Learns from answers how fast, loaded and reliable each endpoint is.
#[derive(Debug, Default)]
pub(crate) struct EndpointStats {
    entries: HashMap<EndpointId, EndpointEntry>,
}

impl EndpointStats {
    pub(crate) fn begin_request(&mut self, id: &EndpointId) {
        let entry = self.entry(id);
        entry.in_flight += 1;
        entry.sent_since += 1;
    }

    pub(crate) fn end_request(&mut self, id: &EndpointId) {
        let entry = self.entry(id);
        entry.in_flight = entry.in_flight.saturating_sub(1);
    }

    /// Records the load and the network time that an answer shows.
    pub(crate) fn record_response(
        &mut self,
        id: &EndpointId,
        now: ClockTime,
        load: LoadReport,
        latency: f64,
    ) {
        let entry = self.entry(id);
        entry.report = load;
        entry.mean_outstanding +=
            SAMPLE_WEIGHT * (f64::from(load.outstanding) - entry.mean_outstanding);
        entry.reported_at = now;
        entry.sent_since = 0;
        let mean = entry.latency.unwrap_or(latency);
        entry.latency = Some(mean + SAMPLE_WEIGHT * (latency - mean));
    }

    /// Records work that took `ratio` times as long as the mean of its route.
    pub(crate) fn record_processing(&mut self, id: &EndpointId, ratio: f64) {
        let entry = self.entry(id);
        let mean = entry.slowness.unwrap_or(1.0);
        entry.slowness = Some(mean + SAMPLE_WEIGHT * (ratio - mean));
    }

    pub(crate) fn record_success(&mut self, id: &EndpointId) {
        let entry = self.entry(id);
        entry.failure_rate -= SAMPLE_WEIGHT * entry.failure_rate;
        entry.ejections = 0;
        entry.refusals = 0;
        entry.ejected_until = ClockTime(0);
    }

    /// Records that the endpoint had no slot.
    pub(crate) fn record_refusal(&mut self, id: &EndpointId, now: ClockTime) {
        let entry = self.entry(id);
        entry.refusals = entry.refusals.saturating_add(1);
        entry.refused_at = now;
    }

    /// Returns whether the endpoint has refused so lately that it need not be asked, after at most
    /// `doublings` of the first pause.
    pub(crate) fn is_backing_off(&self, id: &EndpointId, now: ClockTime, doublings: u32) -> bool {
        let Some(entry) = self.entries.get(id).filter(|entry| entry.refusals > 0) else {
            return false;
        };
        let factor = f64::from(1u32 << (entry.refusals - 1).min(doublings));
        let backoff = f64::from(entry.report.mean_hold_ms) * BACKOFF_HOLD_RATIO * factor;
        (now - entry.refused_at).as_f64() < backoff
    }

    pub(crate) fn record_failure(&mut self, id: &EndpointId, now: ClockTime) {
        let entry = self.entry(id);
        entry.failed_at = now;
        entry.failure_rate += SAMPLE_WEIGHT * (1.0 - entry.failure_rate);
    }

    /// Passes over an endpoint that cannot be reached, longer each time.
    pub(crate) fn eject(&mut self, id: &EndpointId, now: ClockTime) {
        let entry = self.entry(id);
        let backoff = BASE_EJECTION_TIME.0 << entry.ejections.min(4);
        entry.ejections += 1;
        entry.ejected_until = now + ClockTime(backoff).min(MAX_EJECTION_TIME);
    }

    /// Returns the number of requests that are under way at the endpoint.
    pub(crate) fn in_flight(&self, id: &EndpointId) -> u32 {
        self.entries.get(id).map_or(0, |entry| entry.in_flight)
    }

    /// Returns the mean time in ms for which requests hold a slot of the endpoint, if it is known.
    pub(crate) fn mean_hold_ms(&self, id: &EndpointId) -> Option<f64> {
        let hold_ms = self
            .entries
            .get(id)
            .map(|entry| f64::from(entry.report.mean_hold_ms));
        hold_ms.filter(|hold_ms| *hold_ms > 0.0)
    }

    /// Returns whether the endpoint could not be reached lately.
    pub(crate) fn is_ejected(&self, id: &EndpointId, now: ClockTime) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.ejected_until > now)
    }

    /// Returns what a request with `work` ms on an average endpoint can expect of an endpoint.
    pub(crate) fn forecast(
        &self,
        id: &EndpointId,
        now: ClockTime,
        processing_ms: f64,
        default_latency: f64,
        capacity: u32,
    ) -> EndpointForecast {
        let Some(entry) = self.entries.get(id) else {
            return EndpointForecast {
                response_time: default_latency + processing_ms,
                wait: 0.0,
                failure_rate: 0.0,
            };
        };
        let capacity = f64::from(capacity.max(1));
        let age = (now - entry.reported_at).as_f64();
        let confidence = (-age / STATS_DECAY_MS).exp();
        let mean = entry.mean_outstanding * confidence;
        let reported = f64::from(entry.report.outstanding) - mean;
        let reported = mean + reported * (-age / REPORT_DECAY_MS).exp();
        let outstanding = (reported + f64::from(entry.sent_since)).max(f64::from(entry.in_flight));
        let hold_ms = f64::from(entry.report.mean_hold_ms).max(1.0);
        let wait = (outstanding - capacity + 1.0).max(0.0) * hold_ms / capacity;
        let slowness = 1.0 + (entry.slowness.unwrap_or(1.0) - 1.0) * confidence;
        let latency = entry.latency.unwrap_or(default_latency);
        let latency = default_latency + (latency - default_latency) * confidence;
        let saturation = 1.0 + SATURATION_SLOWDOWN * (outstanding / capacity).min(1.0);
        EndpointForecast {
            response_time: latency + processing_ms * slowness * saturation + wait,
            wait,
            failure_rate: entry.failure_rate
                * (-(now - entry.failed_at).as_f64() / STATS_DECAY_MS).exp(),
        }
    }

    /// Forgets endpoints that are gone.
    pub(crate) fn remove(&mut self, id: &EndpointId) {
        self.entries.remove(id);
    }

    fn entry(&mut self, id: &EndpointId) -> &mut EndpointEntry {
        self.entries.entry(id.clone()).or_default()
    }
}
