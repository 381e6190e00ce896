use crate::clock::ClockTime;
use crate::id::KindName;

/// Time over which the weight of a reported load decreases to zero.
const LOAD_LIFETIME_MS: f64 = 1_000.0;
/// Weight of a new sample in the moving average of the slowness.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time in which the excess of the slowness over 1 halves without samples. An endpoint that
/// receives no calls because it was slow is thereby tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 2_000.0;
/// Time over which the share of a new endpoint rises to its full value.
const WARM_UP_MS: f64 = 5_000.0;
/// Initial share of a new endpoint.
const MIN_WARM_UP_SHARE: f64 = 0.1;

/// Load and slowness estimates of one endpoint.
///
/// Slowness is the latency of calls relative to the mean latency of their kind over all endpoints.
/// Because it is a ratio, an endpoint that runs mostly long kinds is not considered slow.
#[derive(Debug, Clone)]
pub struct EndpointScore {
    outstanding: Vec<(ClockTime, KindName)>,
    load: f64,
    load_time: ClockTime,
    slowness: f64,
    samples: u32,
    sample_time: ClockTime,
    warm_up_start: Option<ClockTime>,
}

impl EndpointScore {
    /// Creates a score; `warm_up_start` is set if the endpoint joined after this node learned of
    /// the service's endpoints.
    #[must_use]
    pub fn new(now: ClockTime, warm_up_start: Option<ClockTime>) -> Self {
        Self {
            outstanding: Vec::new(),
            load: 0.0,
            load_time: now,
            slowness: 1.0,
            samples: 0,
            sample_time: now,
            warm_up_start,
        }
    }

    /// Records the start of a call.
    pub fn record_start(&mut self, now: ClockTime, kind: &KindName) {
        self.outstanding.push((now, kind.clone()));
    }

    /// Records the end of a call that started at `started`.
    pub fn record_end(&mut self, started: ClockTime, kind: &KindName) {
        let index = self
            .outstanding
            .iter()
            .position(|(time, name)| *time == started && name == kind);
        if let Some(index) = index {
            self.outstanding.swap_remove(index);
        }
    }

    /// Records the load per slot in thousandths that a reply stated.
    pub fn record_load(&mut self, now: ClockTime, load: u32) {
        self.load = f64::from(load) / 1_000.0;
        self.load_time = now;
    }

    /// Records the latency of a complete response relative to the mean of its kind.
    pub fn record_latency(&mut self, now: ClockTime, ratio: f64) {
        let old = self.sampled_slowness(now);
        self.slowness = if self.samples == 0 {
            ratio
        } else {
            old + (ratio - old) * SAMPLE_WEIGHT
        };
        self.samples = self.samples.saturating_add(1);
        self.sample_time = now;
    }

    /// Records the relative time spent on a call without a response, a lower bound of its latency.
    pub fn record_latency_bound(&mut self, now: ClockTime, ratio: f64) {
        if ratio > self.sampled_slowness(now) {
            self.record_latency(now, ratio);
        }
    }

    /// Discards the latency samples, so that earlier ones do not affect the endpoint after an
    /// ejection.
    pub fn reset_samples(&mut self) {
        self.samples = 0;
        self.slowness = 1.0;
    }

    /// Returns the number of latency samples.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the number of outstanding calls from this node.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the slowness according to samples only, decayed over time.
    #[must_use]
    pub fn sampled_slowness(&self, now: ClockTime) -> f64 {
        if self.slowness <= 1.0 {
            return self.slowness;
        }
        let half_lives = (now - self.sample_time).as_f64() / SLOWNESS_HALF_LIFE_MS;
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Returns the slowness, or the largest relative age of an outstanding call if that is higher.
    ///
    /// `mean_of` returns the mean latency of a kind in ms.
    pub fn slowness<Mean>(&self, now: ClockTime, mean_of: Mean) -> f64
    where
        Mean: Fn(&KindName) -> f64,
    {
        self.outstanding
            .iter()
            .map(|(started, kind)| (now - *started).as_f64() / mean_of(kind))
            .fold(self.sampled_slowness(now), f64::max)
    }

    /// Returns the reported load per slot, reduced with its age.
    #[must_use]
    pub fn reported_load(&self, now: ClockTime) -> f64 {
        let age = (now - self.load_time).as_f64() / LOAD_LIFETIME_MS;
        self.load * (1.0 - age).max(0.0)
    }

    /// Returns the load per slot, which determines whether a tier has capacity left.
    ///
    /// The reported load includes calls from this node, so the maximum is used and not the sum.
    #[must_use]
    pub fn utilization(&self, now: ClockTime, slots: f64) -> f64 {
        (self.in_flight() as f64 / slots).max(self.reported_load(now))
    }

    /// Returns the cost of one more call; the endpoint with the lower cost is preferred.
    pub fn cost<Mean>(&self, now: ClockTime, slots: f64, mean_of: Mean) -> f64
    where
        Mean: Fn(&KindName) -> f64,
    {
        let load = (self.in_flight() as f64 + 1.0) / slots + self.reported_load(now);
        load * self.slowness(now, mean_of) / self.warm_up_share(now)
    }

    fn warm_up_share(&self, now: ClockTime) -> f64 {
        self.warm_up_start.map_or(1.0, |start| {
            ((now - start).as_f64() / WARM_UP_MS).clamp(MIN_WARM_UP_SHARE, 1.0)
        })
    }
}
