//! Tests of the emulators and the load generator. The fault tests of the nodes rely on emulators
//! that behave as specified.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use testkit::load::{AttemptResult, ResponseCheck};
use testkit::wire::{BlockingClient, HttpResponse};
use testkit::{DeploymentPlan, FleetPlan, HttpProbe, PortRange, ProcessGuard};

type TestResult = Result<(), Box<dyn std::error::Error>>;

fn start(program: &str, arguments: &[&str]) -> io::Result<(ProcessGuard, HttpProbe)> {
    let guard = ProcessGuard::start(program, arguments)?;
    let control = HttpProbe::new(guard.address("control")?);
    Ok((guard, control))
}

fn fault(control: HttpProbe, request: &Value) -> TestResult {
    let response = control.post("/fault", request.to_string().as_bytes())?;
    assert_eq!(response.status, 200, "{}", response.text());
    Ok(())
}

fn tagged(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, String)],
) -> io::Result<HttpResponse> {
    HttpProbe::new(address).call("GET", target, headers, &[])
}

/// Guards against a watch that misses a change or responds before there is one.
#[test]
fn config_watch_answers_on_change() -> TestResult {
    let (guard, control) = start("standin-config", &[])?;
    let config = HttpProbe::new(guard.address("config")?);
    assert_eq!(config.get("/v1/manifest")?.status, 404);
    control.put("/manifest", b"one")?;
    let first = config.get("/v1/manifest?after=0&wait_ms=1000")?;
    assert_eq!((first.status, first.text()), (200, "one".to_owned()));
    assert_eq!(first.header("x-revision"), Some("1"));
    assert_eq!(config.get("/v1/manifest?after=1&wait_ms=30")?.status, 304);
    let watch = thread::spawn(move || config.get("/v1/manifest?after=1&wait_ms=5000"));
    while control.get("/counts")?.body_json()["watches_held"] != 1 {
        thread::sleep(Duration::from_millis(2));
    }
    control.put("/manifest", b"two")?;
    let second = watch.join().expect("watch thread")?;
    assert_eq!((second.status, second.text()), (200, "two".to_owned()));
    let counts = control.get("/counts")?.body_json();
    assert_eq!(counts["calls"]["/v1/manifest"], 4);
    assert_eq!(counts["watches_held"], 0);
    Ok(())
}

/// Guards against an emulator that accepts larger values than the platform.
#[test]
fn config_refuses_values_above_limit() -> TestResult {
    let (_guard, control) = start("standin-config", &[])?;
    assert_eq!(
        control.put("/manifest", &vec![b'x'; 1_000_001])?.status,
        413
    );
    assert_eq!(
        control.put("/manifest", &vec![b'x'; 1_000_000])?.status,
        200
    );
    Ok(())
}

/// Guards against faults that have no effect or do not end.
#[test]
fn config_faults_start_and_end() -> TestResult {
    let (guard, control) = start("standin-config", &[])?;
    let config = HttpProbe::with_timeout(guard.address("config")?, 300);
    control.put("/manifest", b"one")?;
    control.put("/manifest", b"two")?;
    fault(control, &json!({ "mode": "stale", "for_ms": 200 }))?;
    control.put("/manifest", b"three")?;
    assert_eq!(config.get("/v1/manifest")?.text(), "one");
    thread::sleep(Duration::from_millis(210));
    assert_eq!(config.get("/v1/manifest")?.text(), "three");
    fault(control, &json!({ "mode": "silent", "target": "manifest" }))?;
    assert!(config.get("/v1/manifest").is_err());
    let instances = HttpProbe::new(guard.address("instances")?);
    assert_eq!(instances.get("/v1/instances")?.status, 404);
    let mut kept = BlockingClient::connect(guard.address("instances")?, Duration::from_secs(2))?;
    kept.call("GET", "/v1/instances", &[], &[])?;
    fault(control, &json!({ "mode": "down" }))?;
    assert!(kept.call("GET", "/v1/instances", &[], &[]).is_err());
    let refused = config.get("/v1/manifest").expect_err("server is down");
    assert_eq!(refused.kind(), io::ErrorKind::ConnectionRefused);
    fault(control, &json!({ "mode": "none" }))?;
    assert_eq!(config.wait_for("/v1/manifest", 200, 1_000)?.text(), "three");
    Ok(())
}

/// Guards against an instance list that becomes visible before its lag has passed.
#[test]
fn instance_list_lags() -> TestResult {
    let (guard, control) = start("standin-config", &[])?;
    let instances = HttpProbe::new(guard.address("instances")?);
    fault(control, &json!({ "mode": "none", "instance_lag_ms": 300 }))?;
    let start = Instant::now();
    control.put(
        "/instances",
        br#"{"instances":[{"address":"127.0.0.1:1"}]}"#,
    )?;
    assert_eq!(instances.get("/v1/instances")?.status, 404);
    let list = instances
        .get("/v1/instances?after=0&wait_ms=3000")?
        .body_json();
    assert!(start.elapsed() >= Duration::from_millis(300));
    assert_eq!(
        list,
        json!({ "revision": 1, "instances": [{ "address": "127.0.0.1:1" }] })
    );
    Ok(())
}

/// Guards against responses that cannot be matched to requests, and against executions that are not
/// counted.
#[test]
fn backend_answers_and_counts_runs() -> TestResult {
    let (guard, control) = start("standin-backend", &["--name=a-1", "--work=/price=1ms"])?;
    let address = guard.address("listen")?;
    let headers = [
        ("x-request-tag", "t7".to_owned()),
        ("idempotency-key", "k".to_owned()),
    ];
    let body = tagged(address, "/price/3?x=1", &headers)?.body_json();
    assert_eq!(
        (&body["instance"], &body["tag"]),
        (&json!("a-1"), &json!("t7"))
    );
    assert_eq!(body["path"], "/price/3");
    tagged(address, "/price/3", &headers)?;
    assert_eq!(control.get("/runs")?.body_json(), json!({ "k": 2 }));
    assert_eq!(HttpProbe::new(address).get("/health")?.text(), "ready");
    fault(control, &json!({ "mode": "drain" }))?;
    assert_eq!(HttpProbe::new(address).get("/health")?.text(), "draining");
    tagged(address, "/price/3", &[])?;
    assert_eq!(
        control.get("/counts")?.body_json()["requests_after_drain"],
        1
    );
    fault(control, &json!({ "mode": "cut", "after_bytes": 5 }))?;
    assert!(tagged(address, "/price/3", &[]).is_err());
    Ok(())
}

/// Guards against slot limits, deadlines and cancellations that are not enforced.
#[test]
fn backend_observes_slots_deadline_and_cancel() -> TestResult {
    let (guard, control) = start("standin-backend", &["--slots=1", "--work=/print=2000ms"])?;
    let address = guard.address("listen")?;
    let headers = [("x-request-id", "r1".to_owned())];
    let long = thread::spawn(move || tagged(address, "/print", &headers));
    while control.get("/counts")?.body_json()["running"] != 1 {
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(tagged(address, "/print", &[])?.status, 503);
    let cancelled = HttpProbe::new(address).post("/cancel/r1", &[])?;
    assert_eq!(cancelled.body_json()["cancelled"], true);
    assert_eq!(long.join().expect("request thread")?.status, 499);
    let late = tagged(address, "/print", &[("x-deadline-ms", "20".to_owned())])?;
    assert_eq!(late.status, 504);
    let counts = control.get("/counts")?.body_json();
    assert_eq!(
        (&counts["slot_violations"], &counts["cancelled"]),
        (&json!(1), &json!(1))
    );
    assert_eq!(
        (&counts["expired"], &counts["running"]),
        (&json!(1), &json!(0))
    );
    Ok(())
}

/// Guards against a nested call that does not propagate the request tag.
#[test]
fn backend_makes_nested_call() -> TestResult {
    let (inner, _) = start("standin-backend", &["--name=inner"])?;
    let nest = format!("--nest=/outer=http://{}/inner", inner.address("listen")?);
    let (outer, _) = start("standin-backend", &["--name=outer", &nest])?;
    let headers = [("x-request-tag", "t1".to_owned())];
    let body = tagged(outer.address("listen")?, "/outer", &headers)?.body_json();
    assert_eq!(body["nested"]["body"]["instance"], "inner");
    assert_eq!(body["nested"]["body"]["tag"], "t1");
    Ok(())
}

/// Guards against signals that do not reach the process; a suspended process must be killed when
/// its guard is dropped.
#[test]
fn process_guard_signals() -> TestResult {
    let (mut guard, control) = start("standin-config", &[])?;
    guard.pause()?;
    assert!(
        HttpProbe::with_timeout(guard.address("control")?, 200)
            .get("/counts")
            .is_err()
    );
    guard.resume()?;
    assert_eq!(control.get("/counts")?.status, 200);
    guard.terminate()?;
    assert_eq!(guard.wait(2_000)?.code(), Some(0));
    assert!(guard.terminate().is_err());
    let (mut guard, control) = start("standin-config", &[])?;
    guard.pause()?;
    drop(guard);
    assert!(control.get("/counts").is_err());
    Ok(())
}

/// Guards against settings that are not valid TOML, and against two processes on one port.
#[test]
fn fleet_plan_covers_examples() -> TestResult {
    for name in ["siam-markwell", "timbre-listo"] {
        let folder = std::env::temp_dir().join(format!("testkit-{}-{name}", std::process::id()));
        let mut plan = FleetPlan::new(DeploymentPlan::example(name)?, &folder)?;
        assert_eq!(plan.endpoints.len(), 17);
        plan.apply_latencies()?;
        plan.common_settings.set("call", "queue_limit", "9");
        let text = std::fs::read_to_string(plan.write_settings(3)?)?;
        std::fs::remove_dir_all(&folder)?;
        let settings: toml::Table = toml::from_str(&text)?;
        assert_eq!(settings["call"]["queue_limit"], toml::Value::Integer(9));
        assert_eq!(settings["seeds"].as_array().map(Vec::len), Some(8));
        let manifest = std::fs::read(DeploymentPlan::example_path(name, "manifest.json"))?;
        let manifest: Value = serde_json::from_slice(&manifest)?;
        let services = manifest["services"].as_array().map(Vec::len);
        assert_eq!(services, Some(plan.deployment.services.len()));
    }
    let (mut left, mut right) = (PortRange::claim()?, PortRange::claim()?);
    assert_ne!(left.address()?, right.address()?);
    Ok(())
}

/// Guards against a load report that hides incorrect responses or omits calls.
#[test]
fn load_gen_checks_and_counts() -> TestResult {
    let (guard, control) = start("standin-backend", &["--slots=50", "--work=/price=40ms"])?;
    let folder = std::env::temp_dir();
    let path = folder.join(format!("testkit-load-{}.json", std::process::id()));
    let profile = json!({
        "seed": 3,
        "kinds": [
            { "name": "order", "method": "POST", "path": "/orders", "share": 1, "weight": 2,
              "deadline_ms": 1000, "key": "first", "body_bytes": 10 },
            { "name": "price", "method": "GET", "path": "/price", "weight": 1,
              "deadline_ms": 1000 }
        ],
        "steps": [{ "rate": 100, "rates": { "price": 50 }, "seconds": 0.5 }]
    });
    std::fs::write(&path, profile.to_string())?;
    let command = || -> io::Result<Value> {
        let mut command = std::process::Command::new(ProcessGuard::program_path("load-gen")?);
        command.arg(format!("--direct={}", guard.address("listen")?));
        let output = command.arg("--profile").arg(&path).output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        Ok(serde_json::from_str(
            text.lines().last().unwrap_or_default(),
        )?)
    };
    let report = command()?;
    let (order, price) = (&report["kinds"]["order"], &report["kinds"]["price"]);
    assert_eq!(order["sent"], order["completed"], "{report}");
    assert_eq!(price["sent"], price["completed"], "{report}");
    let sent = order["sent"].as_u64().zip(price["sent"].as_u64());
    let (orders, prices) = sent.ok_or("no counts")?;
    assert!(
        (20..90).contains(&orders) && (8..50).contains(&prices),
        "{report}"
    );
    // Service times of 40 ms deviate by at most 20%; a histogram that clamps values would report
    // less.
    let quantiles = ["p50_ms", "p90_ms", "p99_ms", "p999_ms", "max_ms"];
    let latencies = quantiles.map(|name| price[name].as_f64().unwrap_or(0.0));
    assert!(latencies.iter().all(|time| *time >= 32.0), "{report}");
    let counts = control.get("/counts")?.body_json();
    assert_eq!(
        (&counts["requests"], &counts["keys"]),
        (&json!(orders + prices), &json!(orders))
    );
    fault(control, &json!({ "mode": "cut", "after_bytes": 9 }))?;
    let cut = command()?;
    assert_eq!(cut["completed"], 0);
    assert_eq!(cut["kinds"]["order"]["unknown"]["connection"], orders);
    std::fs::remove_file(&path)?;
    Ok(())
}

/// Guards against a check that accepts the response to another request.
#[test]
fn load_check_finds_foreign_answers() {
    let check = ResponseCheck {
        method: "GET".to_owned(),
        path: "/price/1".to_owned(),
        tag: "t1".to_owned(),
        body_bytes: 0,
    };
    let response = |path: &str, tag: &str, padding: &str| {
        check.classify(&HttpResponse::json(&json!({
            "instance": "a", "method": "GET", "path": path, "tag": tag, "received_bytes": 0,
            "padding": padding,
        })))
    };
    assert_eq!(
        response("/price/1", "t1", "xx"),
        AttemptResult::Correct("a".to_owned())
    );
    assert_eq!(response("/price/2", "t1", "xx"), AttemptResult::Incorrect);
    assert_eq!(response("/price/1", "t2", "xx"), AttemptResult::Incorrect);
    assert_eq!(response("/price/1", "t1", "xy"), AttemptResult::Incorrect);
    assert_eq!(
        check.classify(&HttpResponse::new(200, "{}")),
        AttemptResult::Incorrect
    );
    let refused = HttpResponse::new(503, "")
        .with_header("x-outcome", "not-run")
        .with_header("x-result-code", "303");
    assert_eq!(
        check.classify(&refused),
        AttemptResult::Refused("303".to_owned())
    );
}
