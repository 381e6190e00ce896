use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::id::EndpointId;
use crate::sidecar::forward_message::LoadReport;

/// Weight of the newest sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time after which a load report has lost most of its meaning and the usual load is expected: a
/// few requests have ended since.
const REPORT_DECAY: f64 = 400.0;
/// Time after which what an endpoint has shown has lost most of its meaning, in ms, so that one that
/// was slow or failed is tried again.
const KNOWLEDGE_DECAY: f64 = 5_000.0;
/// First and longest time for which an endpoint that cannot be reached is passed over.
const FIRST_AVOID: ClockTime = ClockTime(200);
const MAX_AVOID: ClockTime = ClockTime(1_000);
/// Part of its hold time after which an endpoint without a free slot is asked again; it doubles
/// with each further refusal.
const ASK_PAUSE_PART: f64 = 0.25;
/// Part of the work that a nearly full endpoint takes longer.
const FULL_PENALTY: f64 = 0.3;

#[derive(Debug, Clone, Default)]
struct EndpointView {
    in_flight: u32,
    slowness: Option<f64>,
    failures: f64,
    failed_at: ClockTime,
    network: Option<f64>,
    report: LoadReport,
    /// Mean of the requests that reports show as running or waiting.
    mean_load: f64,
    reported_at: ClockTime,
    sent_since: u32,
    avoid_until: ClockTime,
    strikes: u32,
    /// Refusals for want of a slot since the last answer, and the time of the last one.
    refusals: u32,
    refused_at: ClockTime,
}

/// Is what a request can expect of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointForecast {
    /// Mean time until the answer, in ms.
    pub(crate) time: f64,
    /// Mean wait for a slot, in ms.
    pub(crate) wait: f64,
    /// Part of the requests that fail.
    pub(crate) failures: f64,
}

/// Learns from answers how fast, loaded and reliable each endpoint is.
#[derive(Debug, Default)]
pub(crate) struct EndpointStats {
    views: HashMap<EndpointId, EndpointView>,
}

impl EndpointStats {
    pub(crate) fn begin(&mut self, id: &EndpointId) {
        let view = self.view(id);
        view.in_flight += 1;
        view.sent_since += 1;
    }

    pub(crate) fn end(&mut self, id: &EndpointId) {
        let view = self.view(id);
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// Records the load and the network time that an answer shows.
    pub(crate) fn heard(
        &mut self,
        id: &EndpointId,
        now: ClockTime,
        load: LoadReport,
        network: f64,
    ) {
        let view = self.view(id);
        view.report = load;
        view.mean_load += SAMPLE_WEIGHT * (f64::from(load.outstanding) - view.mean_load);
        view.reported_at = now;
        view.sent_since = 0;
        let mean = view.network.unwrap_or(network);
        view.network = Some(mean + SAMPLE_WEIGHT * (network - mean));
    }

    /// Records work that took `ratio` times as long as the mean of its route.
    pub(crate) fn worked(&mut self, id: &EndpointId, ratio: f64) {
        let view = self.view(id);
        let mean = view.slowness.unwrap_or(1.0);
        view.slowness = Some(mean + SAMPLE_WEIGHT * (ratio - mean));
    }

    pub(crate) fn succeeded(&mut self, id: &EndpointId) {
        let view = self.view(id);
        view.failures -= SAMPLE_WEIGHT * view.failures;
        view.strikes = 0;
        view.refusals = 0;
        view.avoid_until = ClockTime(0);
    }

    /// Records that the endpoint had no slot.
    pub(crate) fn refused(&mut self, id: &EndpointId, now: ClockTime) {
        let view = self.view(id);
        view.refusals = view.refusals.saturating_add(1);
        view.refused_at = now;
    }

    /// Returns whether the endpoint has refused so lately that it need not be asked, after at most
    /// `doublings` of the first pause.
    pub(crate) fn is_paused(&self, id: &EndpointId, now: ClockTime, doublings: u32) -> bool {
        let Some(view) = self.views.get(id).filter(|view| view.refusals > 0) else {
            return false;
        };
        let factor = f64::from(1u32 << (view.refusals - 1).min(doublings));
        let pause = f64::from(view.report.hold) * ASK_PAUSE_PART * factor;
        (now - view.refused_at).as_f64() < pause
    }

    pub(crate) fn failed(&mut self, id: &EndpointId, now: ClockTime) {
        let view = self.view(id);
        view.failed_at = now;
        view.failures += SAMPLE_WEIGHT * (1.0 - view.failures);
    }

    /// Passes over an endpoint that cannot be reached, longer each time.
    pub(crate) fn unreachable(&mut self, id: &EndpointId, now: ClockTime) {
        let view = self.view(id);
        let pause = FIRST_AVOID.0 << view.strikes.min(4);
        view.strikes += 1;
        view.avoid_until = now + ClockTime(pause).min(MAX_AVOID);
    }

    /// Returns the number of requests that are under way at the endpoint.
    pub(crate) fn in_flight(&self, id: &EndpointId) -> u32 {
        self.views.get(id).map_or(0, |view| view.in_flight)
    }

    /// Returns the mean time in ms for which requests hold a slot of the endpoint, if it is known.
    pub(crate) fn hold(&self, id: &EndpointId) -> Option<f64> {
        let hold = self.views.get(id).map(|view| f64::from(view.report.hold));
        hold.filter(|hold| *hold > 0.0)
    }

    /// Returns whether the endpoint could not be reached lately.
    pub(crate) fn is_avoided(&self, id: &EndpointId, now: ClockTime) -> bool {
        self.views
            .get(id)
            .is_some_and(|view| view.avoid_until > now)
    }

    /// Returns what a request with `work` ms on an average endpoint can expect of an endpoint.
    pub(crate) fn forecast(
        &self,
        id: &EndpointId,
        now: ClockTime,
        work: f64,
        network_prior: f64,
        capacity: u32,
    ) -> EndpointForecast {
        let Some(view) = self.views.get(id) else {
            return EndpointForecast {
                time: network_prior + work,
                wait: 0.0,
                failures: 0.0,
            };
        };
        let capacity = f64::from(capacity.max(1));
        let age = (now - view.reported_at).as_f64();
        let known = (-age / KNOWLEDGE_DECAY).exp();
        let usual = view.mean_load * known;
        let reported = f64::from(view.report.outstanding) - usual;
        let reported = usual + reported * (-age / REPORT_DECAY).exp();
        let outstanding = (reported + f64::from(view.sent_since)).max(f64::from(view.in_flight));
        let hold = f64::from(view.report.hold).max(1.0);
        let wait = (outstanding - capacity + 1.0).max(0.0) * hold / capacity;
        let slowness = 1.0 + (view.slowness.unwrap_or(1.0) - 1.0) * known;
        let network = view.network.unwrap_or(network_prior);
        let network = network_prior + (network - network_prior) * known;
        let crowded = 1.0 + FULL_PENALTY * (outstanding / capacity).min(1.0);
        EndpointForecast {
            time: network + work * slowness * crowded + wait,
            wait,
            failures: view.failures * (-(now - view.failed_at).as_f64() / KNOWLEDGE_DECAY).exp(),
        }
    }

    /// Forgets endpoints that are gone.
    pub(crate) fn remove(&mut self, id: &EndpointId) {
        self.views.remove(id);
    }

    fn view(&mut self, id: &EndpointId) -> &mut EndpointView {
        self.views.entry(id.clone()).or_default()
    }
}
