use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::bench::{BenchFleet, BenchPlan};
use crate::load::{LoadRun, StepProfile, TargetAddress};
use crate::wire::BlockingClient;

/// Callers that keep one entry busy.
const CALLERS: usize = 32;

/// Pairs of a direct load and one through nodes; the differences of each pair are reported.
const PAIRS: usize = 5;

/// Time for which an entry is kept busy.
const BUSY_TIME: Duration = Duration::from_secs(4);

/// Measures what the nodes add to a call.
#[derive(Debug, Clone, Copy)]
pub struct OverheadBenchmark {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Length of each load in seconds.
    pub seconds: f64,
}

impl OverheadBenchmark {
    /// Compares calls through an entry node and the node beside the backend server with direct
    /// calls, both with open-loop arrivals.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn latency(&self, plan: &BenchPlan, service: &str, kind: &str) -> io::Result<Value> {
        let fleet = BenchFleet::start(plan)?;
        let (entry, direct) = addresses(&fleet, service)?;
        let mut rows = Vec::new();
        for round in 0..2 * PAIRS {
            let address = if round % 2 == 0 { direct } else { entry };
            let mut profile = plan.profile(self.seed)?;
            profile.kinds.retain(|entry| entry.name == kind);
            profile.steps.push(StepProfile {
                rate: 0.0,
                rates: BTreeMap::from([(kind.to_owned(), 100.0)]),
                seconds: self.seconds,
            });
            let target = TargetAddress {
                kind: None,
                address,
            };
            let report = LoadRun::new(profile, vec![target])?.execute();
            let kind = &report["kinds"][kind];
            rows.push(json!({
                "direct": address == direct,
                "sent": kind["sent"],
                "completed": kind["completed"],
                "p50_ms": kind["p50_ms"],
                "p90_ms": kind["p90_ms"],
                "p99_ms": kind["p99_ms"],
            }));
        }
        fleet.stop()?;
        let added = |name: &str| {
            let value = |row: &Value| row[name].as_f64().unwrap_or(0.0);
            let pairs = rows.chunks_exact(2);
            let mut parts: Vec<f64> = pairs
                .map(|pair| value(&pair[1]) - value(&pair[0]))
                .collect();
            parts.sort_by(f64::total_cmp);
            parts
        };
        Ok(
            json!({ "rows": rows, "added_p50_ms": added("p50_ms"), "added_p99_ms": added("p99_ms") }),
        )
    }

    /// Keeps one entry busy and measures calls a second and processor time of both hops.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn hops(&self, plan: &BenchPlan, service: &str, path: &str) -> io::Result<Value> {
        let fleet = BenchFleet::start(plan)?;
        let (entry, _) = addresses(&fleet, service)?;
        let endpoints = &fleet.fleet.plan.endpoints;
        let place = |address: SocketAddr| {
            endpoints
                .iter()
                .position(|endpoint| endpoint.entry == address)
                .unwrap_or(0)
        };
        let own = endpoints
            .iter()
            .position(|endpoint| endpoint.service == service);
        let (front, back) = (place(entry), own.unwrap_or(0));
        let idle = [fleet.processor_us(front)?, fleet.processor_us(back)?];
        thread::sleep(Duration::from_secs(2));
        let before = [fleet.processor_us(front)?, fleet.processor_us(back)?];
        let start = Instant::now();
        let counts = thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|_| scope.spawn(|| busy(entry, path)))
                .collect();
            callers
                .into_iter()
                .map(|caller| caller.join().unwrap_or(0))
                .sum::<u64>()
        });
        let seconds = start.elapsed().as_secs_f64();
        let after = [fleet.processor_us(front)?, fleet.processor_us(back)?];
        fleet.stop()?;
        let calls = counts as f64;
        let part = |index: usize| (after[index] - before[index]) / calls;
        Ok(json!({
            "calls": counts,
            "calls_per_second": calls / seconds,
            "entry_us_per_call": part(0),
            "endpoint_us_per_call": part(1),
            "entry_calls_per_core_second": 1e6 / part(0),
            "endpoint_calls_per_core_second": 1e6 / part(1),
            "idle_us_per_second": [(before[0] - idle[0]) / 2.0, (before[1] - idle[1]) / 2.0],
        }))
    }
}

/// Returns an entry of another service and the backend server of the first endpoint.
fn addresses(fleet: &BenchFleet, service: &str) -> io::Result<(SocketAddr, SocketAddr)> {
    let endpoints = &fleet.fleet.plan.endpoints;
    let own = endpoints
        .iter()
        .find(|endpoint| endpoint.service == service);
    let other = endpoints
        .iter()
        .find(|endpoint| endpoint.service != service);
    match (own, other) {
        (Some(own), Some(other)) => Ok((other.entry, own.backend)),
        _ => Err(io::Error::other(format!(
            "no two services beside {service}"
        ))),
    }
}

/// Calls one after the other and returns the number of good answers.
fn busy(address: SocketAddr, path: &str) -> u64 {
    let mut good = 0;
    let end = Instant::now() + BUSY_TIME;
    let Ok(mut client) = BlockingClient::connect(address, Duration::from_secs(5)) else {
        return 0;
    };
    while Instant::now() < end {
        match client.call("GET", path, &[], &[]) {
            Ok(response) => good += u64::from(response.status == 200),
            Err(_) => return good,
        }
    }
    good
}
