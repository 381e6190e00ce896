use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::bench::{BenchFleet, BenchPlan};
use crate::load::{LoadRun, StepProfile, TargetAddress};
use crate::wire::BlockingClient;

/// Number of concurrent callers that saturate the entry node.
const CALLER_COUNT: usize = 32;

/// Number of pairs of a direct load and a load through the nodes; the difference within each pair
/// is reported.
const PAIR_COUNT: usize = 5;

/// Duration of the saturating load.
const SATURATION_TIME: Duration = Duration::from_secs(4);

/// Benchmark of the latency and CPU time that the nodes add to a call.
#[derive(Debug, Clone, Copy)]
pub struct OverheadBenchmark {
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Duration of each load in seconds.
    pub seconds: f64,
}

impl OverheadBenchmark {
    /// Compares the latency of calls through the entry node and the endpoint node with that of
    /// direct calls to the backend server, both with open-loop arrivals.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn latency(&self, plan: &BenchPlan, service: &str, kind: &str) -> io::Result<Value> {
        let fleet = BenchFleet::start(plan)?;
        let (entry, direct) = entry_and_backend(&fleet, service)?;
        let mut rows = Vec::new();
        for round in 0..2 * PAIR_COUNT {
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
            let mut differences: Vec<f64> = pairs
                .map(|pair| value(&pair[1]) - value(&pair[0]))
                .collect();
            differences.sort_by(f64::total_cmp);
            differences
        };
        Ok(
            json!({ "rows": rows, "added_p50_ms": added("p50_ms"), "added_p99_ms": added("p99_ms") }),
        )
    }

    /// Saturates one entry node and measures the call rate and the CPU time of both hops.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails.
    pub fn hop_cost(&self, plan: &BenchPlan, service: &str, path: &str) -> io::Result<Value> {
        let fleet = BenchFleet::start(plan)?;
        let (entry, _) = entry_and_backend(&fleet, service)?;
        let endpoints = &fleet.fleet.plan.endpoints;
        let index_of_entry = |address: SocketAddr| {
            endpoints
                .iter()
                .position(|endpoint| endpoint.entry == address)
                .unwrap_or(0)
        };
        let own = endpoints
            .iter()
            .position(|endpoint| endpoint.service == service);
        let (front, back) = (index_of_entry(entry), own.unwrap_or(0));
        let idle = [fleet.cpu_us(front)?, fleet.cpu_us(back)?];
        thread::sleep(Duration::from_secs(2));
        let before = [fleet.cpu_us(front)?, fleet.cpu_us(back)?];
        let start = Instant::now();
        let call_count = thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLER_COUNT)
                .map(|_| scope.spawn(|| call_repeatedly(entry, path)))
                .collect();
            callers
                .into_iter()
                .map(|caller| caller.join().unwrap_or(0))
                .sum::<u64>()
        });
        let seconds = start.elapsed().as_secs_f64();
        let after = [fleet.cpu_us(front)?, fleet.cpu_us(back)?];
        fleet.stop()?;
        let calls = call_count as f64;
        let us_per_call = |index: usize| (after[index] - before[index]) / calls;
        Ok(json!({
            "calls": call_count,
            "calls_per_second": calls / seconds,
            "entry_us_per_call": us_per_call(0),
            "endpoint_us_per_call": us_per_call(1),
            "entry_calls_per_core_second": 1e6 / us_per_call(0),
            "endpoint_calls_per_core_second": 1e6 / us_per_call(1),
            "idle_us_per_second": [(before[0] - idle[0]) / 2.0, (before[1] - idle[1]) / 2.0],
        }))
    }
}

/// Returns the entry address of an endpoint of another service, and the backend server address of
/// the first endpoint of the given service.
fn entry_and_backend(fleet: &BenchFleet, service: &str) -> io::Result<(SocketAddr, SocketAddr)> {
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
            "service {service} has no endpoint, or there is no other service"
        ))),
    }
}

/// Makes sequential calls for the saturation time and returns the number of responses with status
/// 200.
fn call_repeatedly(address: SocketAddr, path: &str) -> u64 {
    let mut succeeded = 0;
    let end = Instant::now() + SATURATION_TIME;
    let Ok(mut client) = BlockingClient::connect(address, Duration::from_secs(5)) else {
        return 0;
    };
    while Instant::now() < end {
        match client.call("GET", path, &[], &[]) {
            Ok(response) => succeeded += u64::from(response.status == 200),
            Err(_) => return succeeded,
        }
    }
    succeeded
}
