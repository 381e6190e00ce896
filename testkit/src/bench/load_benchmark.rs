use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::bench::{BenchFleet, BenchPlan, CapacityBound};
use crate::load::StepProfile;
use crate::wire::HttpProbe;

/// Pause between two loads, in which the queues empty.
const DRAIN_PAUSE: Duration = Duration::from_millis(1_500);

/// Benchmark of goodput and latencies under load.
#[derive(Debug, Clone, Copy)]
pub struct LoadBenchmark {
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Duration of each load in seconds.
    pub seconds: f64,
}

impl LoadBenchmark {
    /// Measures the weighted goodput at multiples of the capacity.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn goodput(&self, plan: &BenchPlan, scales: &[f64]) -> io::Result<Value> {
        let profile = plan.profile(self.seed)?;
        let bound = CapacityBound::new(&plan.deployment()?, &plan.manifest()?, &profile);
        let fleet = BenchFleet::start(plan)?;
        let mut rows = Vec::new();
        // In this warm-up load, the nodes learn the service times.
        self.run(&fleet, plan, &BTreeMap::new(), bound.rate() * 0.3, 2.0)?;
        for scale in scales {
            thread::sleep(DRAIN_PAUSE);
            let rate = bound.rate() * scale;
            let report = self.run(&fleet, plan, &BTreeMap::new(), rate, self.seconds)?;
            rows.push(json!({
                "scale": scale,
                "rate": rate,
                "bound": bound.goodput(&report, self.seconds),
                "weighted_goodput": report["weighted_goodput_per_second"],
                "wrong": report["wrong"],
                "kinds": report["kinds"],
            }));
        }
        let (repeated, violations) = fleet.violations()?;
        fleet.stop()?;
        Ok(json!({
            "plain": plan.plain,
            "capacity_rate": bound.rate(),
            "rows": rows,
            "repeated_keys": repeated,
            "slot_violations": violations,
        }))
    }

    /// Measures the latency of a short kind at several rates of a long kind of the same service.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn blocking(&self, plan: &BenchPlan, short: &str, long: &str) -> io::Result<Value> {
        let fleet = BenchFleet::start(plan)?;
        let mut rows = Vec::new();
        for rate in [0.0, 15.0, 36.0] {
            let rates = BTreeMap::from([(short.to_owned(), 150.0), (long.to_owned(), rate)]);
            let report = self.run(&fleet, plan, &rates, 0.0, self.seconds)?;
            rows.push(json!({
                "long_rate": rate,
                "short": without_instances(&report["kinds"][short]),
                "long": without_instances(&report["kinds"][long]),
            }));
            thread::sleep(DRAIN_PAUSE);
        }
        fleet.stop()?;
        Ok(json!({ "plain": plan.plain, "rows": rows }))
    }

    /// Measures the latency of a kind before and while one endpoint of its service is ten times
    /// slower.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn slowed(&self, plan: &BenchPlan, service: &str, kind: &str) -> io::Result<Value> {
        let fleet = BenchFleet::start(plan)?;
        let rates = BTreeMap::from([(kind.to_owned(), 300.0)]);
        let before = self.run(&fleet, plan, &rates, 0.0, self.seconds)?;
        let slow = fleet.fleet.plan.endpoints_of(service).next();
        let control = slow.map(|endpoint| HttpProbe::new(endpoint.control));
        let during = thread::scope(|scope| {
            let load = scope.spawn(|| self.run(&fleet, plan, &rates, 0.0, self.seconds));
            thread::sleep(Duration::from_secs_f64(self.seconds / 4.0));
            let time = (self.seconds * 500.0) as u64;
            let fault = json!({"mode": "slow", "factor": 10.0, "for_ms": time}).to_string();
            if let Some(control) = control {
                control.post("/fault", fault.as_bytes())?;
            }
            load.join()
                .map_err(|_| io::Error::other("load generator thread panicked"))?
        })?;
        let (_, violations) = fleet.violations()?;
        fleet.stop()?;
        Ok(json!({
            "plain": plan.plain,
            "before": without_instances(&before["kinds"][kind]),
            "slowed": without_instances(&during["kinds"][kind]),
            "slot_violations": violations,
        }))
    }

    fn run(
        &self,
        fleet: &BenchFleet,
        plan: &BenchPlan,
        rates: &BTreeMap<String, f64>,
        rate: f64,
        seconds: f64,
    ) -> io::Result<Value> {
        let mut profile = plan.profile(self.seed)?;
        profile.steps.push(StepProfile {
            rate,
            rates: rates.clone(),
            seconds,
        });
        fleet.load(profile)
    }
}

/// Returns the report of a kind without its instances.
fn without_instances(kind: &Value) -> Value {
    let mut kind = kind.clone();
    if let Some(fields) = kind.as_object_mut() {
        fields.remove("instances");
    }
    kind
}
