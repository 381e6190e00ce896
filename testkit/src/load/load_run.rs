use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::load::{
    CallQueue, KindStats, LoadCaller, LoadProfile, ScheduledCall, TargetAddress, TargetPool,
};
use crate::wire;

/// Stack size of a worker thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Execution of a load profile against a set of targets.
#[derive(Debug)]
pub struct LoadRun {
    profile: LoadProfile,
    targets: Vec<(TargetAddress, TargetPool)>,
    queue: CallQueue,
    stats: Vec<Mutex<KindStats>>,
    results_by_key: Mutex<BTreeMap<String, &'static str>>,
    run_id: u64,
}

impl LoadRun {
    /// Prepares a run of the profile.
    ///
    /// # Errors
    ///
    /// Returns an error if a kind has no target.
    pub fn new(profile: LoadProfile, targets: Vec<TargetAddress>) -> io::Result<LoadRun> {
        let targets = targets.into_iter().map(|target| {
            let connections = TargetPool::new(target.address);
            (target, connections)
        });
        let stats = profile.kinds.iter().map(|_| Mutex::default());
        let run = LoadRun {
            targets: targets.collect(),
            queue: CallQueue::default(),
            stats: stats.collect(),
            results_by_key: Mutex::default(),
            run_id: rand::random(),
            profile,
        };
        let mut kinds = run.profile.kinds.iter();
        match kinds.find(|kind| run.targets_of(&kind.name).is_empty()) {
            Some(kind) => Err(io::Error::other(format!(
                "no target address for kind {}",
                kind.name
            ))),
            None => Ok(run),
        }
    }

    /// Makes the calls of all steps, waits until they have ended and returns the report.
    pub fn execute(&self) -> Value {
        let start = Instant::now();
        thread::scope(|scope| {
            let mut threads = 0;
            self.generate_arrivals(start, |call| {
                let needs_worker = self.queue.push(call);
                if needs_worker && threads < self.profile.in_flight_limit {
                    threads += 1;
                    let builder = thread::Builder::new().stack_size(STACK_SIZE);
                    // If the thread cannot be started, a running one takes the call.
                    let _ = builder.spawn_scoped(scope, || self.run_worker());
                }
            });
            self.queue.close();
        });
        let seconds: f64 = self.profile.steps.iter().map(|step| step.seconds).sum();
        self.report(seconds)
    }

    /// Returns the final result of the call of each idempotency key as JSON.
    #[must_use]
    pub fn keys(&self) -> Value {
        json!(*wire::lock(&self.results_by_key))
    }

    /// Generates the Poisson arrivals and passes each call to `send` at its intended start.
    fn generate_arrivals<F>(&self, start: Instant, mut send: F)
    where
        F: FnMut(ScheduledCall),
    {
        let mut random = StdRng::seed_from_u64(self.profile.seed);
        let mut number = 0;
        let mut step_start = 0.0;
        for step in &self.profile.steps {
            let rates = self.profile.rates(step);
            let total: f64 = rates.iter().sum();
            let end = step_start + step.seconds;
            let mut time = step_start;
            loop {
                time -= (1.0 - random.random::<f64>()).ln() / total;
                if total <= 0.0 || time >= end {
                    break;
                }
                let kind = pick_kind(&rates, random.random::<f64>() * total);
                let target = random.random_range(0..usize::MAX / 2);
                let intended = start + Duration::from_secs_f64(time);
                thread::sleep(intended.saturating_duration_since(Instant::now()));
                number += 1;
                send(ScheduledCall {
                    kind,
                    number,
                    start: intended,
                    target,
                });
            }
            step_start = end;
            let rest = start + Duration::from_secs_f64(end);
            thread::sleep(rest.saturating_duration_since(Instant::now()));
        }
    }

    fn run_worker(&self) {
        let kinds = self.profile.kinds.iter();
        let targets: Vec<_> = kinds.map(|kind| self.targets_of(&kind.name)).collect();
        while let Some(call) = self.queue.pop() {
            let kind = &self.profile.kinds[call.kind];
            let mut caller = LoadCaller::new(kind, &targets[call.kind], call, self.run_id);
            let (result, retries) = caller.run();
            let latency_us = call.start.elapsed().as_micros() as u64;
            let mut kind_stats = wire::lock(&self.stats[call.kind]);
            kind_stats.record(&result, latency_us, kind.deadline_ms, retries);
            drop(kind_stats);
            if let Some(key) = caller.key() {
                wire::lock(&self.results_by_key).insert(key.to_owned(), result.name());
            }
        }
    }

    fn targets_of(&self, kind: &str) -> Vec<&TargetPool> {
        let matches_kind =
            |target: &TargetAddress| target.kind.as_deref().is_none_or(|own| own == kind);
        let matching = self
            .targets
            .iter()
            .filter(|(target, _)| matches_kind(target));
        matching.map(|(_, connections)| connections).collect()
    }

    fn report(&self, seconds: f64) -> Value {
        let mut kinds = serde_json::Map::new();
        let (mut weighted, mut completed, mut incorrect) = (0.0, 0, 0);
        for (kind, kind_stats) in self.profile.kinds.iter().zip(&self.stats) {
            let kind_stats = wire::lock(kind_stats);
            weighted += kind.weight * kind_stats.completed() as f64;
            completed += kind_stats.completed();
            incorrect += kind_stats.incorrect();
            kinds.insert(kind.name.clone(), kind_stats.report());
        }
        json!({
            "seconds": seconds,
            "completed": completed,
            "wrong": incorrect,
            "goodput_per_second": completed as f64 / seconds,
            "weighted_goodput_per_second": weighted / seconds,
            "kinds": kinds,
        })
    }
}

fn pick_kind(rates: &[f64], mut point: f64) -> usize {
    for (index, rate) in rates.iter().enumerate() {
        if point < *rate {
            return index;
        }
        point -= rate;
    }
    // Rounding errors may leave a remainder after the last kind; it counts for the last one with a
    // nonzero rate.
    rates.iter().rposition(|rate| *rate > 0.0).unwrap_or(0)
}
