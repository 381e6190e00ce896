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

/// Stack of a calling thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// Runs a profile against targets.
#[derive(Debug)]
pub struct LoadRun {
    profile: LoadProfile,
    targets: Vec<(TargetAddress, TargetPool)>,
    queue: CallQueue,
    tallies: Vec<Mutex<KindStats>>,
    keys: Mutex<BTreeMap<String, &'static str>>,
    run: u64,
}

impl LoadRun {
    /// Prepares a run.
    ///
    /// # Errors
    ///
    /// Returns an error if a kind has no target.
    pub fn new(profile: LoadProfile, targets: Vec<TargetAddress>) -> io::Result<LoadRun> {
        let targets = targets.into_iter().map(|target| {
            let connections = TargetPool::new(target.address);
            (target, connections)
        });
        let tallies = profile.kinds.iter().map(|_| Mutex::default());
        let run = LoadRun {
            targets: targets.collect(),
            queue: CallQueue::default(),
            tallies: tallies.collect(),
            keys: Mutex::default(),
            run: rand::random(),
            profile,
        };
        let mut kinds = run.profile.kinds.iter();
        match kinds.find(|kind| run.targets_of(&kind.name).is_empty()) {
            Some(kind) => Err(io::Error::other(format!(
                "no target for kind {}",
                kind.name
            ))),
            None => Ok(run),
        }
    }

    /// Creates the calls of all steps, waits for their ends and returns the report.
    pub fn execute(&self) -> Value {
        let start = Instant::now();
        thread::scope(|scope| {
            let mut threads = 0;
            self.arrive(start, |call| {
                let short = self.queue.push(call);
                if short && threads < self.profile.in_flight_limit {
                    threads += 1;
                    let builder = thread::Builder::new().stack_size(STACK_SIZE);
                    // Without a further thread, the call waits for one that runs.
                    let _ = builder.spawn_scoped(scope, || self.work());
                }
            });
            self.queue.close();
        });
        let seconds: f64 = self.profile.steps.iter().map(|step| step.seconds).sum();
        self.report(seconds)
    }

    /// Returns how the call of each idempotency key ended.
    #[must_use]
    pub fn keys(&self) -> Value {
        json!(*wire::lock(&self.keys))
    }

    /// Draws the arrivals and waits for the intended start of each.
    fn arrive<F>(&self, start: Instant, mut send: F)
    where
        F: FnMut(ScheduledCall),
    {
        let mut random = StdRng::seed_from_u64(self.profile.seed);
        let mut number = 0;
        let mut begin = 0.0;
        for step in &self.profile.steps {
            let rates = self.profile.rates(step);
            let total: f64 = rates.iter().sum();
            let end = begin + step.seconds;
            let mut time = begin;
            loop {
                time -= (1.0 - random.random::<f64>()).ln() / total;
                if total <= 0.0 || time >= end {
                    break;
                }
                let kind = pick(&rates, random.random::<f64>() * total);
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
            begin = end;
            let rest = start + Duration::from_secs_f64(end);
            thread::sleep(rest.saturating_duration_since(Instant::now()));
        }
    }

    fn work(&self) {
        let kinds = self.profile.kinds.iter();
        let targets: Vec<_> = kinds.map(|kind| self.targets_of(&kind.name)).collect();
        while let Some(call) = self.queue.pop() {
            let kind = &self.profile.kinds[call.kind];
            let mut caller = LoadCaller::new(kind, &targets[call.kind], call, self.run);
            let (result, retries) = caller.run();
            let micros = call.start.elapsed().as_micros() as u64;
            let mut tally = wire::lock(&self.tallies[call.kind]);
            tally.add(&result, micros, kind.deadline_ms, retries);
            drop(tally);
            if let Some(key) = caller.key() {
                wire::lock(&self.keys).insert(key.to_owned(), result.name());
            }
        }
    }

    fn targets_of(&self, kind: &str) -> Vec<&TargetPool> {
        let wanted = |target: &TargetAddress| target.kind.as_deref().is_none_or(|own| own == kind);
        let matching = self.targets.iter().filter(|(target, _)| wanted(target));
        matching.map(|(_, connections)| connections).collect()
    }

    fn report(&self, seconds: f64) -> Value {
        let mut kinds = serde_json::Map::new();
        let (mut value, mut completed, mut wrong) = (0.0, 0, 0);
        for (kind, tally) in self.profile.kinds.iter().zip(&self.tallies) {
            let tally = wire::lock(tally);
            value += kind.weight * tally.completed() as f64;
            completed += tally.completed();
            wrong += tally.wrong();
            kinds.insert(kind.name.clone(), tally.report());
        }
        json!({
            "seconds": seconds,
            "completed": completed,
            "wrong": wrong,
            "goodput_per_second": completed as f64 / seconds,
            "weighted_goodput_per_second": value / seconds,
            "kinds": kinds,
        })
    }
}

fn pick(rates: &[f64], mut point: f64) -> usize {
    for (index, rate) in rates.iter().enumerate() {
        if point < *rate {
            return index;
        }
        point -= rate;
    }
    // Rounding may leave a rest behind the last kind with a rate.
    rates.iter().rposition(|rate| *rate > 0.0).unwrap_or(0)
}
