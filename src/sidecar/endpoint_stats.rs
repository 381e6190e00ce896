use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::id::EndpointId;
use crate::rate_limit::{LimitReport, RequestRate};
use crate::sidecar::forward_message::LoadReport;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Decay time of a load report towards the mean load, in ms. A few requests complete within it.
const REPORT_DECAY_MS: f64 = 400.0;
/// Decay time of the statistics towards the defaults, in ms, so that an endpoint that was slow or
/// failed is tried again.
const STATS_DECAY_MS: f64 = 5_000.0;
/// Decay time of the reported scarcity, in ms: an endpoint that is no longer asked is tried again.
const SCARCITY_DECAY_MS: f64 = 2_000.0;
/// Initial and maximum time for which an unreachable endpoint is ejected.
const BASE_EJECTION_TIME: ClockTime = ClockTime(200);
const MAX_EJECTION_TIME: ClockTime = ClockTime(1_000);
/// Initial backoff from an endpoint without a free slot, as a fraction of its mean slot hold time.
/// The backoff doubles with each further refusal.
const BACKOFF_HOLD_RATIO: f64 = 0.25;
/// Fraction by which processing takes longer on a fully loaded endpoint.
const SATURATION_SLOWDOWN_FACTOR: f64 = 0.3;

/// Statistics about one endpoint.
#[derive(Debug, Clone, Default)]
struct StatsEntry {
    in_flight: u32,
    slowness: Option<f64>,
    /// Limit that the endpoint advertises, also if its node has since restarted.
    limit: Option<RequestRate>,
    failure_rate: f64,
    failed_at: ClockTime,
    latency_ms: Option<f64>,
    report: LoadReport,
    /// Moving average of the running and queued requests in the load reports.
    mean_outstanding: f64,
    reported_at: ClockTime,
    sent_since: u32,
    ejected_until: ClockTime,
    ejections: u32,
    /// Refusals for lack of a slot since the last successful response, and the time of the last
    /// one.
    refusals: u32,
    refused_at: ClockTime,
}

impl StatsEntry {
    /// Returns the wait of a further request for the rate of a cold or limited endpoint, whose last report
    /// is `age` ms old.
    fn pace_wait_ms(&self, age: f64) -> f64 {
        let pace = f64::from(self.report.pace);
        if pace <= 0.0 {
            return 0.0;
        }
        let sent_ms = f64::from(self.sent_since) * 1_000.0 / pace;
        (f64::from(self.report.pace_wait_ms) + sent_ms - age).max(0.0)
    }
}

/// Predicted result of sending a request to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointForecast {
    /// Expected time until the response.
    pub(crate) response_time_ms: f64,
    /// Expected wait for a slot.
    pub(crate) wait_ms: f64,
    /// Expected fraction of failing requests.
    pub(crate) failure_rate: f64,
    /// Share of the requests that may be served in few regions and are turned away.
    pub(crate) scarcity: f64,
}

/// Statistics about the speed, load and reliability of each endpoint, from its responses.
#[derive(Debug, Default)]
pub(crate) struct EndpointStats {
    entries: HashMap<EndpointId, StatsEntry>,
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

    /// Records the load report of a response and its network latency in ms.
    pub(crate) fn record_response(
        &mut self,
        id: &EndpointId,
        now: ClockTime,
        load: LoadReport,
        latency_ms: f64,
    ) {
        let entry = self.entry(id);
        entry.report = load;
        match load.limit {
            LimitReport::Unknown => {}
            LimitReport::Unlimited => entry.limit = None,
            LimitReport::Limited(rate) => entry.limit = Some(rate),
        }
        entry.slowness = Some(f64::from(load.slowness)).filter(|slowness| *slowness > 0.0);
        entry.mean_outstanding +=
            SAMPLE_WEIGHT * (f64::from(load.outstanding) - entry.mean_outstanding);
        entry.reported_at = now;
        entry.sent_since = 0;
        let mean = entry.latency_ms.unwrap_or(latency_ms);
        entry.latency_ms = Some(mean + SAMPLE_WEIGHT * (latency_ms - mean));
    }

    pub(crate) fn record_success(&mut self, id: &EndpointId) {
        let entry = self.entry(id);
        entry.failure_rate -= SAMPLE_WEIGHT * entry.failure_rate;
        entry.ejections = 0;
        entry.refusals = 0;
        entry.ejected_until = ClockTime(0);
    }

    /// Records that the endpoint had no free slot.
    pub(crate) fn record_refusal(&mut self, id: &EndpointId, now: ClockTime) {
        let entry = self.entry(id);
        entry.refusals = entry.refusals.saturating_add(1);
        entry.refused_at = now;
    }

    /// Returns whether the endpoint refused a request within the current backoff, which doubles
    /// with each refusal up to `doublings` times.
    pub(crate) fn is_backing_off(&self, id: &EndpointId, now: ClockTime, doublings: u32) -> bool {
        let Some(entry) = self.entries.get(id).filter(|entry| entry.refusals > 0) else {
            return false;
        };
        let factor = f64::from(1u32 << (entry.refusals - 1).min(doublings));
        let backoff = f64::from(entry.report.mean_hold_ms) * BACKOFF_HOLD_RATIO * factor;
        (now - entry.refused_at).as_f64() < backoff
    }

    /// Returns the time since the endpoint last refused a request for lack of a slot, if it has not
    /// responded successfully since.
    pub(crate) fn since_refusal(&self, id: &EndpointId, now: ClockTime) -> Option<ClockTime> {
        let entry = self.entries.get(id).filter(|entry| entry.refusals > 0)?;
        Some(now - entry.refused_at)
    }

    pub(crate) fn record_failure(&mut self, id: &EndpointId, now: ClockTime) {
        let entry = self.entry(id);
        entry.failed_at = now;
        entry.failure_rate += SAMPLE_WEIGHT * (1.0 - entry.failure_rate);
    }

    /// Ejects an unreachable endpoint, for longer with each consecutive ejection.
    pub(crate) fn eject(&mut self, id: &EndpointId, now: ClockTime) {
        let entry = self.entry(id);
        let backoff = BASE_EJECTION_TIME.0 << entry.ejections.min(4);
        entry.ejections += 1;
        entry.ejected_until = now + ClockTime(backoff).min(MAX_EJECTION_TIME);
    }

    /// Returns the number of requests that the endpoint, which has `capacity` slots, can run at the same time.
    /// A cold or limited one sustains fewer than it has slots. For others the last report may be older than
    /// the number of slots.
    pub(crate) fn sustained_capacity(&self, id: &EndpointId, capacity: u32) -> u32 {
        let entry = self.entries.get(id);
        let paced = entry.filter(|entry| entry.report.pace > 0.0);
        paced.map_or(capacity, |entry| capacity.min(entry.report.capacity.max(1)))
    }

    /// Returns the number of requests in flight to the endpoint.
    pub(crate) fn in_flight(&self, id: &EndpointId) -> u32 {
        self.entries.get(id).map_or(0, |entry| entry.in_flight)
    }

    /// Returns the limit that the endpoint advertises, if known.
    pub(crate) fn known_limit(&self, id: &EndpointId) -> Option<RequestRate> {
        self.entries.get(id).and_then(|entry| entry.limit)
    }

    /// Returns the mean time in ms for which requests hold a slot of the endpoint, if known.
    pub(crate) fn mean_hold_ms(&self, id: &EndpointId) -> Option<f64> {
        let hold_ms = self
            .entries
            .get(id)
            .map(|entry| f64::from(entry.report.mean_hold_ms));
        hold_ms.filter(|hold_ms| *hold_ms > 0.0)
    }

    /// Returns whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self, id: &EndpointId, now: ClockTime) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.ejected_until > now)
    }

    /// Forecasts the result of a request that takes `processing_ms` on an average endpoint.
    pub(crate) fn forecast(
        &self,
        id: &EndpointId,
        now: ClockTime,
        processing_ms: f64,
        default_latency_ms: f64,
        capacity: u32,
    ) -> EndpointForecast {
        let Some(entry) = self.entries.get(id) else {
            return EndpointForecast {
                response_time_ms: default_latency_ms + processing_ms,
                wait_ms: 0.0,
                failure_rate: 0.0,
                scarcity: 0.0,
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
        let slot_wait_ms = (outstanding - capacity + 1.0).max(0.0) * hold_ms / capacity;
        let wait_ms = slot_wait_ms.max(entry.pace_wait_ms(age));
        let slowness = 1.0 + (entry.slowness.unwrap_or(1.0) - 1.0) * confidence;
        let latency_ms = entry.latency_ms.unwrap_or(default_latency_ms);
        let latency_ms = default_latency_ms + (latency_ms - default_latency_ms) * confidence;
        let saturation = 1.0 + SATURATION_SLOWDOWN_FACTOR * (outstanding / capacity).min(1.0);
        EndpointForecast {
            response_time_ms: latency_ms + processing_ms * slowness * saturation + wait_ms,
            wait_ms,
            scarcity: f64::from(entry.report.scarcity) * (-age / SCARCITY_DECAY_MS).exp(),
            failure_rate: entry.failure_rate
                * (-(now - entry.failed_at).as_f64() / STATS_DECAY_MS).exp(),
        }
    }

    /// Removes the statistics of an endpoint.
    pub(crate) fn remove(&mut self, id: &EndpointId) {
        self.entries.remove(id);
    }

    fn entry(&mut self, id: &EndpointId) -> &mut StatsEntry {
        self.entries.entry(id.clone()).or_default()
    }
}
