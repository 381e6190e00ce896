use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::bench::{BenchFleet, BenchPlan};
use crate::load::StepProfile;
use crate::wire::HttpProbe;

/// Interval between two polls of the entry nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Benchmark of the time until an endpoint that fails or leaves receives no more calls.
#[derive(Debug, Clone, Copy)]
pub struct RemovalBenchmark {
    /// Seed of the random arrivals.
    pub seed: u64,
}

impl RemovalBenchmark {
    /// Makes one endpoint leave, drain, crash or stop responding under load, and measures how long
    /// it still receives calls.
    ///
    /// `removal` is `leaving`, `draining`, `killed` or `silent`.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails or `removal` is unknown.
    pub fn measure(
        &self,
        plan: &BenchPlan,
        service: &str,
        (kind, request): (&str, &str),
        removal: &str,
    ) -> io::Result<Value> {
        let mut fleet = BenchFleet::start(plan)?;
        let endpoints = &fleet.fleet.plan.endpoints;
        let index = endpoints
            .iter()
            .position(|endpoint| endpoint.service == service);
        let index =
            index.ok_or_else(|| io::Error::other(format!("service {service} has no endpoint")))?;
        let address = endpoints[index].peer.to_string();
        let control = HttpProbe::new(endpoints[index].control);
        let others = endpoints
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let admins: Vec<_> = others.map(|(_, endpoint)| endpoint.admin).collect();
        let targets = endpoints
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let targets: Vec<_> = targets
            .map(|(_, endpoint)| crate::load::TargetAddress {
                kind: None,
                address: endpoint.entry,
            })
            .collect();
        let mut profile = plan.profile(self.seed)?;
        profile.kinds.retain(|entry| entry.name == kind);
        profile.steps.push(StepProfile {
            rate: 0.0,
            rates: BTreeMap::from([(kind.to_owned(), 200.0)]),
            seconds: 10.0,
        });
        let run = crate::load::LoadRun::new(profile, targets)?;
        let (report, times) = thread::scope(|scope| -> io::Result<_> {
            let load = scope.spawn(|| run.execute());
            thread::sleep(Duration::from_secs(2));
            let mut node = fleet.fleet.nodes[index]
                .take()
                .ok_or_else(|| io::Error::other("node is not running"))?;
            let start = Instant::now();
            match removal {
                "leaving" => node.terminate()?,
                "killed" => node.kill()?,
                "silent" => node.pause()?,
                "draining" => {
                    control.post("/fault", br#"{"mode": "drain"}"#).map(drop)?;
                }
                _ => return Err(io::Error::other(format!("unknown removal {removal}"))),
            }
            let times = observe_removal(start, &address, request, &admins, control);
            let report = load
                .join()
                .map_err(|_| io::Error::other("load generator thread panicked"))?;
            if removal == "silent" {
                node.resume()?;
            }
            Ok((report, times))
        })?;
        fleet.stop()?;
        let mut kind = report["kinds"][kind].clone();
        if let Some(fields) = kind.as_object_mut() {
            fields.remove("instances");
        }
        Ok(json!({
            "end": removal,
            "plain": plan.plain,
            "times": times,
            "load": kind,
        }))
    }
}

/// Observes for 6 s when any other node last had a call in flight to the endpoint, and when its
/// backend server received its last request.
///
/// Returns the times since `start` in ms as JSON.
fn observe_removal(
    start: Instant,
    address: &str,
    request: &str,
    admins: &[std::net::SocketAddr],
    control: HttpProbe,
) -> Value {
    let request_count = || {
        let response = control.get("/counts");
        response.map(|response| response.body_json()["requests"].clone())
    };
    let mut last_count = request_count().unwrap_or_default();
    let mut times = Vec::new();
    let mut last_request_ms = 0;
    let target = format!("/v1/explain?{request}");
    while start.elapsed() < Duration::from_secs(6) {
        if let Ok(now) = request_count()
            && now != last_count
        {
            last_count = now;
            last_request_ms = start.elapsed().as_millis() as u64;
        }
        let has_calls_in_flight = |admin: &std::net::SocketAddr| {
            let page = HttpProbe::with_timeout(*admin, 1_000).get(&target);
            let page = page
                .map(|response| response.body_json())
                .unwrap_or_default();
            let mut rows = page["endpoints"].as_array().into_iter().flatten();
            rows.any(|row| row["address"] == address && row["in_flight"] != 0)
        };
        if admins.iter().any(has_calls_in_flight) {
            times.push(start.elapsed().as_millis() as u64);
        }
        thread::sleep(POLL_INTERVAL);
    }
    // Calls after a gap of more than 500 ms are probes of an ejected endpoint.
    let gap = times.windows(2).find(|pair| pair[1] > pair[0] + 500);
    let removed = gap.map(|pair| pair[0]).or(times.last().copied());
    json!({
        "in_flight_until_ms": removed,
        "last_in_flight_ms": times.last(),
        "last_request_at_backend_ms": last_request_ms,
    })
}
