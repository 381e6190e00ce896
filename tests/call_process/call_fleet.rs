use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testkit::wire::HttpResponse;
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, ProcessGuard, RunningFleet};

/// Time for a fleet to become ready or to stop, in ms.
pub const FLEET_LIMIT_MS: u64 = 40_000;

/// Runs a small fleet: the service `desk`, which takes orders, and the service `front`.
pub struct CallFleet {
    pub fleet: RunningFleet,
    folder: PathBuf,
}

/// Returns a manifest that routes every path to `service`; both services have every kind.
pub fn manifest(number: u64, service: &str, slots: u32) -> Vec<u8> {
    let kind = |name: &str, idempotent: bool, deadline: u64| {
        json!({"name": name, "idempotent": idempotent, "weight": 5, "deadline_ms": deadline,
               "long": false, "objective": 0.99})
    };
    let kinds = json!([
        kind("lookup", true, 5_000),
        kind("order", false, 5_000),
        kind("nested", true, 5_000)
    ]);
    let entry = |name: &str| {
        json!({"name": name, "inherits": null, "protocol": "http1", "slots": slots,
               "connections": 130, "kinds": kinds})
    };
    let route = |method: &str, prefix: &str, service: &str, kind: &str| json!({"method": method, "prefix": prefix, "service": service, "kind": kind});
    let value = json!({
        "number": number,
        "services": [entry("desk"), entry("front")],
        "routes": [
            route("GET", "/nested", "front", "nested"),
            route("GET", "/look", service, "lookup"),
            route("POST", "/order", service, "order"),
        ],
    });
    value.to_string().into_bytes()
}

impl CallFleet {
    /// Starts `desk` and `front` endpoints in two zones; `prepare` may change the plan.
    pub fn start<Prepare>(desks: usize, fronts: usize, prepare: Prepare) -> Self
    where
        Prepare: FnOnce(&mut FleetPlan),
    {
        let service = |name: &str, endpoints: usize| {
            json!({"name": name, "endpoints": endpoints, "slots": 2, "connections": 130, "work": [
                {"prefix": "/look", "time_ms": 5}, {"prefix": "/look/slow", "time_ms": 400},
                {"prefix": "/order", "time_ms": 20}, {"prefix": "/order/slow", "time_ms": 800},
                {"prefix": "/nested", "time_ms": 5}]})
        };
        let deployment: DeploymentPlan = serde_json::from_value(json!({
            "name": "calls", "platform_region": "r",
            "latency": {"zone_ms": 0.0, "region_ms": 0.0, "client_ms": 0.0},
            "link": {"bits_per_second": 30_000_000},
            "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
            "services": [service("desk", desks), service("front", fronts)],
        }))
        .unwrap();
        let name = format!(
            "endive-calls-{}-{:x}",
            std::process::id(),
            rand::random::<u64>()
        );
        let folder = std::env::temp_dir().join(name);
        let mut plan = FleetPlan::new(deployment, &folder).unwrap();
        plan.common_settings.set("call", "key_settle_ms", "500");
        plan.common_settings.set_text("", "log_level", "off");
        prepare(&mut plan);
        let fleet = RunningFleet::start(plan, &manifest(1, "desk", 2), FLEET_LIMIT_MS).unwrap();
        Self { fleet, folder }
    }

    pub fn caller(&self, index: usize) -> SocketAddr {
        self.fleet.plan.endpoints[index].caller
    }

    /// Calls through the node; `None` if the connection ended without a whole answer.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
    ) -> Option<HttpResponse> {
        call(self.caller(index), method, path, headers)
    }

    /// Returns how often each key ran at the backend servers that run.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for (endpoint, backend) in self.fleet.plan.endpoints.iter().zip(&self.fleet.backends) {
            if backend.is_none() {
                continue;
            }
            let value = HttpProbe::new(endpoint.control)
                .get("/runs")
                .unwrap()
                .body_json();
            for (key, count) in value.as_object().unwrap() {
                *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        runs
    }

    /// Waits until a key runs somewhere and returns the index of the endpoint.
    pub fn wait_run(&self, key: &str) -> usize {
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            for (index, endpoint) in self.fleet.plan.endpoints.iter().enumerate() {
                let probe = HttpProbe::new(endpoint.control);
                if let Ok(answer) = probe.get("/runs")
                    && !answer.body_json()[key].is_null()
                {
                    return index;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("key {key} does not run");
    }

    /// Returns a counter of every running backend server.
    pub fn counts(&self, name: &str) -> Vec<u64> {
        let endpoints = self.fleet.plan.endpoints.iter().zip(&self.fleet.backends);
        let running = endpoints.filter(|(_, backend)| backend.is_some());
        running
            .map(|(endpoint, _)| {
                let value = HttpProbe::new(endpoint.control)
                    .get("/counts")
                    .unwrap()
                    .body_json();
                value[name].as_u64().unwrap()
            })
            .collect()
    }

    pub fn set_fault(&self, index: usize, fault: &Value) {
        let probe = HttpProbe::new(self.fleet.plan.endpoints[index].control);
        let answer = probe.post("/fault", fault.to_string().as_bytes()).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }

    pub fn node(&mut self, index: usize) -> &mut ProcessGuard {
        self.fleet.nodes[index].as_mut().unwrap()
    }

    /// Checks that no slot limit was exceeded and, if all nodes run, that all stop cleanly.
    pub fn finish(mut self) {
        let violations = self.counts("slot_violations");
        assert!(violations.iter().all(|count| *count == 0), "{violations:?}");
        let codes = self.fleet.stop(FLEET_LIMIT_MS).unwrap();
        assert!(codes.iter().all(|code| *code == Some(0)), "{codes:?}");
    }
}

impl Drop for CallFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends one call on its own connection; `None` if no whole answer came within 8 s.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
) -> Option<HttpResponse> {
    try_call(address, method, path, headers).ok()
}

/// Sends one call on its own connection and says why there is no answer.
pub fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
) -> io::Result<HttpResponse> {
    HttpProbe::with_timeout(address, 8_000).call(method, path, headers, &[])
}

/// Returns outcome and result code of an answer, `none` if there is no answer.
pub fn outcome(answer: Option<&HttpResponse>) -> (String, String) {
    let header = |name| {
        answer
            .and_then(|answer| answer.header(name))
            .unwrap_or("none")
    };
    (
        header("x-outcome").to_owned(),
        header("x-result-code").to_owned(),
    )
}
