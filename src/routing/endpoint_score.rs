use crate::clock::ClockTime;
use crate::id::KindName;

/// Span over which a load figure carried back loses its weight.
const LOAD_LIFETIME_MS: f64 = 1_000.0;
/// Weight of a new sample in the latency estimate.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time in which an excess estimate without samples halves, so that an endpoint that gets no work
/// because it was slow is tried again.
const EXCESS_HALF_LIFE_MS: f64 = 2_000.0;
/// Span over which a new endpoint is brought to its full share.
const WARM_UP_MS: f64 = 5_000.0;
/// Share of a new endpoint at its start.
const WARM_UP_FLOOR: f64 = 0.1;

/// Estimates the load and slowness of one endpoint.
///
/// Slowness is the latency relative to the mean of the call's kind over all endpoints. A ratio
/// keeps an endpoint that happens to run long kinds from being taken for a slow one.
#[derive(Debug, Clone)]
pub struct EndpointScore {
    outstanding: Vec<(ClockTime, KindName)>,
    load: f64,
    load_time: ClockTime,
    slowness: f64,
    samples: u32,
    sample_time: ClockTime,
    warm_from: Option<ClockTime>,
}

impl EndpointScore {
    /// Creates a score; `warm_from` is the time at which an endpoint that joins late was seen.
    #[must_use]
    pub fn new(now: ClockTime, warm_from: Option<ClockTime>) -> Self {
        Self {
            outstanding: Vec::new(),
            load: 0.0,
            load_time: now,
            slowness: 1.0,
            samples: 0,
            sample_time: now,
            warm_from,
        }
    }

    /// Records the start of a call.
    pub fn start(&mut self, now: ClockTime, kind: &KindName) {
        self.outstanding.push((now, kind.clone()));
    }

    /// Records the end of a call that started at `started`.
    pub fn end(&mut self, started: ClockTime, kind: &KindName) {
        let place = self
            .outstanding
            .iter()
            .position(|(time, name)| *time == started && name == kind);
        if let Some(place) = place {
            self.outstanding.swap_remove(place);
        }
    }

    /// Records the load that a reply carried, per slot in thousandths.
    pub fn carry(&mut self, now: ClockTime, load: u32) {
        self.load = f64::from(load) / 1_000.0;
        self.load_time = now;
    }

    /// Records the latency of a whole answer relative to the mean of its kind.
    pub fn sample(&mut self, now: ClockTime, ratio: f64) {
        let old = self.settled(now);
        self.slowness = if self.samples == 0 {
            ratio
        } else {
            old + (ratio - old) * SAMPLE_WEIGHT
        };
        self.samples = self.samples.saturating_add(1);
        self.sample_time = now;
    }

    /// Records a call without an answer, whose relative latency is a lower bound.
    pub fn sample_bound(&mut self, now: ClockTime, ratio: f64) {
        if ratio > self.settled(now) {
            self.sample(now, ratio);
        }
    }

    /// Forgets the latency samples, so that a probe after an ejection starts afresh.
    pub fn reset_samples(&mut self) {
        self.samples = 0;
        self.slowness = 1.0;
    }

    /// Returns the number of latency samples.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the number of calls in flight from this node.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.outstanding.len()
    }

    /// Returns the slowness from samples alone.
    #[must_use]
    pub fn settled(&self, now: ClockTime) -> f64 {
        if self.slowness <= 1.0 {
            return self.slowness;
        }
        let halves = (now - self.sample_time).as_f64() / EXCESS_HALF_LIFE_MS;
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(halves)
    }

    /// Returns the slowness, at least the relative age of the oldest outstanding call.
    ///
    /// `mean_of` gives the mean latency of a kind in ms.
    pub fn slowness<Mean>(&self, now: ClockTime, mean_of: Mean) -> f64
    where
        Mean: Fn(&KindName) -> f64,
    {
        self.outstanding
            .iter()
            .map(|(started, kind)| (now - *started).as_f64() / mean_of(kind))
            .fold(self.settled(now), f64::max)
    }

    /// Returns the load carried back per slot, aged.
    #[must_use]
    pub fn carried(&self, now: ClockTime) -> f64 {
        let age = (now - self.load_time).as_f64() / LOAD_LIFETIME_MS;
        self.load * (1.0 - age).max(0.0)
    }

    /// Returns the load per slot for the decision whether a tier has room.
    ///
    /// The carried load includes this node's calls, so the larger figure counts and not the sum.
    #[must_use]
    pub fn fill(&self, now: ClockTime, slots: f64) -> f64 {
        (self.in_flight() as f64 / slots).max(self.carried(now))
    }

    /// Returns the cost of one more call; the endpoint with the smaller cost is better.
    pub fn cost<Mean>(&self, now: ClockTime, slots: f64, mean_of: Mean) -> f64
    where
        Mean: Fn(&KindName) -> f64,
    {
        let load = (self.in_flight() as f64 + 1.0) / slots + self.carried(now);
        load * self.slowness(now, mean_of) / self.warmth(now)
    }

    fn warmth(&self, now: ClockTime) -> f64 {
        self.warm_from.map_or(1.0, |start| {
            ((now - start).as_f64() / WARM_UP_MS).clamp(WARM_UP_FLOOR, 1.0)
        })
    }
}
