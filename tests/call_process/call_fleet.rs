use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testkit::wire::HttpResponse;
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, ProcessGuard, RunningFleet};

/// Timeout in ms for a fleet to become ready or to stop.
pub const FLEET_TIMEOUT_MS: u64 = 40_000;

/// Small fleet with the service `desk`, which accepts orders, and the service `front`.
pub struct CallFleet {
    pub fleet: RunningFleet,
    directory: PathBuf,
}

/// Returns a manifest that routes lookups and orders to `service` and nested calls to `front`.
///
/// Both services define all kinds.
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
    let service_entry = |name: &str| {
        json!({"name": name, "inherits": null, "protocol": "http1", "slots": slots,
               "connections": 130, "kinds": kinds})
    };
    let route = |method: &str, prefix: &str, service: &str, kind: &str| json!({"method": method, "prefix": prefix, "service": service, "kind": kind});
    let value = json!({
        "number": number,
        "services": [service_entry("desk"), service_entry("front")],
        "routes": [
            route("GET", "/nested", "front", "nested"),
            route("GET", "/look", service, "lookup"),
            route("POST", "/order", service, "order"),
        ],
    });
    value.to_string().into_bytes()
}

impl CallFleet {
    /// Starts `desk` and `front` endpoints in two zones; `configure` can change the plan first.
    pub fn start<Configure>(
        desk_endpoints: usize,
        front_endpoints: usize,
        configure: Configure,
    ) -> Self
    where
        Configure: FnOnce(&mut FleetPlan),
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
            "services": [service("desk", desk_endpoints), service("front", front_endpoints)],
        }))
        .unwrap();
        let name = format!(
            "endive-calls-{}-{:x}",
            std::process::id(),
            rand::random::<u64>()
        );
        let directory = std::env::temp_dir().join(name);
        let mut plan = FleetPlan::new(deployment, &directory).unwrap();
        plan.common_settings.set("call", "key_settle_ms", "500");
        plan.common_settings.set_text("", "log_level", "off");
        configure(&mut plan);
        let fleet = RunningFleet::start(plan, &manifest(1, "desk", 2), FLEET_TIMEOUT_MS).unwrap();
        Self { fleet, directory }
    }

    /// Returns the address of a node for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.fleet.plan.endpoints[index].caller
    }

    /// Sends a call to a node; returns `None` if no complete response arrived.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
    ) -> Option<HttpResponse> {
        call(self.caller_address(index), method, path, headers)
    }

    /// Returns the number of runs of each key, summed over the running backend servers.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
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

    /// Waits until a backend server has started to run a key; returns the index of the endpoint.
    pub fn wait_for_run(&self, key: &str) -> usize {
        let end = Instant::now() + Duration::from_secs(5);
        while Instant::now() < end {
            for (index, endpoint) in self.fleet.plan.endpoints.iter().enumerate() {
                let probe = HttpProbe::new(endpoint.control);
                if let Ok(response) = probe.get("/runs")
                    && !response.body_json()[key].is_null()
                {
                    return index;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("no backend server ran key {key} within 5 s");
    }

    /// Returns the named counter of each running backend server.
    pub fn backend_counters(&self, name: &str) -> Vec<u64> {
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

    pub fn set_backend_fault(&self, index: usize, fault: &Value) {
        let probe = HttpProbe::new(self.fleet.plan.endpoints[index].control);
        let response = probe.post("/fault", fault.to_string().as_bytes()).unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
    }

    pub fn node_process(&mut self, index: usize) -> &mut ProcessGuard {
        self.fleet.nodes[index].as_mut().unwrap()
    }

    /// Stops the fleet; checks that no slot limit was exceeded and that every running node exits
    /// with code 0.
    pub fn check_and_stop(mut self) {
        let violations = self.backend_counters("slot_violations");
        assert!(violations.iter().all(|count| *count == 0), "{violations:?}");
        let codes = self.fleet.stop(FLEET_TIMEOUT_MS).unwrap();
        assert!(codes.iter().all(|code| *code == Some(0)), "{codes:?}");
    }
}

impl Drop for CallFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Sends one call on a new connection; returns `None` if no complete response arrived within 8 s.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
) -> Option<HttpResponse> {
    try_call(address, method, path, headers).ok()
}

/// Sends one call on a new connection; returns the I/O error if no complete response arrived.
pub fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
) -> io::Result<HttpResponse> {
    HttpProbe::with_timeout(address, 8_000).call(method, path, headers, &[])
}

/// Returns the outcome and result code headers of a response; both are `none` if it is absent.
pub fn outcome_and_code(response: Option<&HttpResponse>) -> (String, String) {
    let header = |name| {
        response
            .and_then(|response| response.header(name))
            .unwrap_or("none")
    };
    (
        header("x-outcome").to_owned(),
        header("x-result-code").to_owned(),
    )
}
