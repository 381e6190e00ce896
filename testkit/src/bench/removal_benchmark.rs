use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::bench::{BenchFleet, BenchPlan};
use crate::load::StepProfile;
use crate::wire::HttpProbe;

/// Time between two looks at an entry node.
const POLL: Duration = Duration::from_millis(10);

/// Measures the time until an endpoint that fails or leaves gets no work.
#[derive(Debug, Clone, Copy)]
pub struct RemovalBenchmark {
    /// Seed of the arrivals.
    pub seed: u64,
}

impl RemovalBenchmark {
    /// Makes one endpoint leave, die or go silent under load.
    ///
    /// # Errors
    ///
    /// Returns an error if a process fails or the end is unknown.
    pub fn measure(
        &self,
        plan: &BenchPlan,
        service: &str,
        (kind, request): (&str, &str),
        end: &str,
    ) -> io::Result<Value> {
        let mut fleet = BenchFleet::start(plan)?;
        let endpoints = &fleet.fleet.plan.endpoints;
        let place = endpoints
            .iter()
            .position(|endpoint| endpoint.service == service);
        let place = place.ok_or_else(|| io::Error::other("no endpoint"))?;
        let address = endpoints[place].peer.to_string();
        let control = HttpProbe::new(endpoints[place].control);
        let others = endpoints
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != place);
        let admins: Vec<_> = others.map(|(_, endpoint)| endpoint.admin).collect();
        let targets = endpoints
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != place);
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
            let mut node = fleet.fleet.nodes[place]
                .take()
                .ok_or_else(|| io::Error::other("no node"))?;
            let start = Instant::now();
            match end {
                "leaving" => node.terminate()?,
                "killed" => node.kill()?,
                "silent" => node.pause()?,
                "draining" => {
                    control.post("/fault", br#"{"mode": "drain"}"#).map(drop)?;
                }
                _ => return Err(io::Error::other(format!("unknown end {end}"))),
            }
            let times = watch(start, &address, request, &admins, control);
            let report = load
                .join()
                .map_err(|_| io::Error::other("the load failed"))?;
            if end == "silent" {
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
            "end": end,
            "plain": plan.plain,
            "times": times,
            "load": kind,
        }))
    }
}

/// Watches for 6 s when any other node last had a call in flight to the endpoint, and when its
/// backend server got its last request; both in ms.
fn watch(
    start: Instant,
    address: &str,
    request: &str,
    admins: &[std::net::SocketAddr],
    control: HttpProbe,
) -> Value {
    let count = || {
        let response = control.get("/counts");
        response.map(|response| response.body_json()["requests"].clone())
    };
    let mut seen = count().unwrap_or_default();
    let mut times = Vec::new();
    let mut last = 0;
    let target = format!("/v1/explain?{request}");
    while start.elapsed() < Duration::from_secs(6) {
        if let Ok(now) = count()
            && now != seen
        {
            seen = now;
            last = start.elapsed().as_millis() as u64;
        }
        let uses = |admin: &std::net::SocketAddr| {
            let page = HttpProbe::with_timeout(*admin, 1_000).get(&target);
            let page = page
                .map(|response| response.body_json())
                .unwrap_or_default();
            let mut rows = page["endpoints"].as_array().into_iter().flatten();
            rows.any(|row| row["address"] == address && row["in_flight"] != 0)
        };
        if admins.iter().any(uses) {
            times.push(start.elapsed().as_millis() as u64);
        }
        thread::sleep(POLL);
    }
    // After half a second without a call, further ones are probes after an ejection.
    let gap = times.windows(2).find(|pair| pair[1] > pair[0] + 500);
    let quiet = gap.map(|pair| pair[0]).or(times.last().copied());
    json!({
        "in_flight_until_ms": quiet,
        "last_in_flight_ms": times.last(),
        "last_request_at_backend_ms": last,
    })
}
