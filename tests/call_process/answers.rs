//! Tests with real processes that responses are complete and belong to their request, and that
//! refused calls have not run.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use testkit::HttpProbe;
use testkit::wire::{BlockingClient, HttpResponse};

use crate::call_fleet::{self, CallFleet};

const SEED: u64 = 43;

/// Checks that a response is complete and echoes the values of its own request.
fn check_matches_request(response: &HttpResponse, path: &str, tag: &str, bytes: usize) {
    let value = response.body_json();
    let observed = (
        value["path"].as_str(),
        value["tag"].as_str(),
        value["received_bytes"].as_u64(),
    );
    assert_eq!(
        observed,
        (Some(path), Some(tag), Some(bytes as u64)),
        "{}",
        response.text()
    );
    let padding = value["padding"].as_str().map(str::len);
    assert_eq!(padding, Some(3_000), "{}", response.text());
}

/// Guards against truncated responses and responses to the wrong caller. Calls share connections
/// between nodes, some responses arrive after the deadline, and backend servers close connections
/// in the middle of a body.
#[test]
fn each_caller_gets_its_own_complete_response() {
    let configure = |plan: &mut testkit::FleetPlan| {
        plan.backend_arguments
            .push("--answer-bytes=3000".to_owned());
    };
    let fleet = CallFleet::start(2, 1, configure);
    let end_time = Instant::now() + Duration::from_secs(6);
    let counts = Mutex::new(BTreeMap::<String, u64>::new());
    thread::scope(|scope| {
        for caller in 0..12 {
            let (fleet, counts) = (&fleet, &counts);
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED + caller);
                let address = fleet.caller_address(rng.random_range(0..3));
                let mut client = None;
                for sequence in 0.. {
                    if Instant::now() >= end_time {
                        return;
                    }
                    let connection = client.take();
                    let mut connection = connection.unwrap_or_else(|| {
                        BlockingClient::connect(address, Duration::from_secs(5)).unwrap()
                    });
                    // The response to slow work with a short deadline arrives after the deadline.
                    let (method, path) = match rng.random_range(0..10) {
                        0 => ("GET", format!("/look/slow/{caller}/{sequence}")),
                        1..4 => ("POST", format!("/order/{caller}/{sequence}")),
                        _ => ("GET", format!("/look/{caller}/{sequence}")),
                    };
                    let tag = format!("{caller}-{sequence}");
                    let deadline = rng.random_range(30..600);
                    let headers = [
                        ("x-request-tag", tag.clone()),
                        ("x-deadline-ms", deadline.to_string()),
                    ];
                    let body = vec![b'b'; rng.random_range(0..20_000)];
                    let response = connection.call(method, &path, &headers, &body);
                    let response = response.unwrap_or_else(|error| panic!("{path}: {error}"));
                    let (outcome, code) = call_fleet::outcome_and_code(Some(&response));
                    if outcome == "ran" && response.status == 200 {
                        check_matches_request(&response, &path, &tag, body.len());
                    }
                    let name = format!("{outcome} {code} {}", response.status);
                    *counts.lock().unwrap().entry(name).or_default() += 1;
                    if response.header("connection") != Some("close") {
                        client = Some(connection);
                    }
                }
            });
        }
        for round in 0..8 {
            thread::sleep(Duration::from_millis(600));
            let mode = if round % 2 == 0 { "cut" } else { "none" };
            let fault = json!({"mode": mode, "after_bytes": 700});
            fleet.set_backend_fault(round / 2 % 2, &fault);
        }
    });
    let counts = counts.into_inner().unwrap();
    println!("{counts:?}");
    assert!(counts["ran 0 200"] > 200, "{counts:?}");
    fleet.check_and_stop();
}

/// Guards against a late response that a caller receives for its next call on the connection after
/// a call has timed out.
#[test]
fn a_connection_is_usable_after_a_timeout() {
    let configure = |plan: &mut testkit::FleetPlan| {
        plan.backend_arguments
            .push("--answer-bytes=3000".to_owned());
    };
    let fleet = CallFleet::start(1, 1, configure);
    for entry_node in [0, 1] {
        let address = fleet.caller_address(entry_node);
        let mut client = BlockingClient::connect(address, Duration::from_secs(5)).unwrap();
        for round in 0..4 {
            for (path, deadline, in_time) in
                [("/look/slow", 60, false), ("/look/quick", 2_000, true)]
            {
                let tag = format!("{entry_node}-{round}-{deadline}");
                let headers = [
                    ("x-request-tag", tag.clone()),
                    ("x-deadline-ms", deadline.to_string()),
                ];
                let response = client.call("GET", path, &headers, &[]).unwrap();
                let (outcome, code) = call_fleet::outcome_and_code(Some(&response));
                assert_eq!(
                    outcome == "ran" && response.status == 200,
                    in_time,
                    "{path}: {outcome} {code}"
                );
                if in_time {
                    check_matches_request(&response, path, &tag, 0);
                }
                if response.header("connection") == Some("close") {
                    client = BlockingClient::connect(address, Duration::from_secs(5)).unwrap();
                }
            }
        }
    }
    fleet.check_and_stop();
}

/// Guards against calls that are reported as `not-run` but have run, and against responses without
/// a run, while nodes are overloaded, killed and restarted.
#[test]
fn calls_reported_as_not_run_have_not_run() {
    let mut fleet = CallFleet::start(3, 1, |plan| {
        plan.common_settings.set("call", "queue_limit", "2");
    });
    thread::sleep(Duration::from_millis(1_500));
    let entry_address = fleet.caller_address(3);
    let end_time = Instant::now() + Duration::from_secs(9);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for caller in 0..16 {
            let results = &results;
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED * 100 + caller);
                while Instant::now() < end_time {
                    let key = format!("key-{:016x}", rng.random::<u64>());
                    let headers = [
                        ("idempotency-key", key.clone()),
                        ("x-first-attempt-age-ms", "0".to_owned()),
                        ("x-deadline-ms", rng.random_range(5..400).to_string()),
                    ];
                    let response = call_fleet::call(entry_address, "POST", "/order", &headers);
                    let result = call_fleet::outcome_and_code(response.as_ref());
                    results.lock().unwrap().push((
                        key,
                        result,
                        response.map(|response| response.status),
                    ));
                    if rng.random_bool(0.2) {
                        thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                    }
                }
            });
        }
        // Only nodes are killed, since a killed backend server would lose its counters.
        for round in 0..3 {
            thread::sleep(Duration::from_millis(1_500));
            fleet.fleet.nodes[round].take().unwrap().kill().unwrap();
            thread::sleep(Duration::from_millis(700));
            fleet.fleet.start_node(round).unwrap();
        }
    });
    let runs = fleet.run_counts();
    let results = results.into_inner().unwrap();
    let mut counts = BTreeMap::<String, u64>::new();
    for (key, (outcome, code), status) in &results {
        let count = runs.get(key).copied().unwrap_or(0);
        *counts
            .entry(format!("{outcome} {code} ran {count}"))
            .or_default() += 1;
        match outcome.as_str() {
            "not-run" => assert_eq!(
                count, 0,
                "{key} was refused with {code} but ran {count} times"
            ),
            "ran" if *status == Some(200) => {
                assert_eq!(count, 1, "{key} succeeded but ran {count} times");
            }
            _ => assert!(
                count <= 1,
                "{key} ended with {outcome} {code} but ran {count} times"
            ),
        }
    }
    println!("{counts:?}");
    assert!(
        counts.keys().any(|name| name.starts_with("not-run")),
        "{counts:?}"
    );
    let violations = fleet.backend_counters("slot_violations");
    println!("slot violations after nodes were killed: {violations:?}");
    let health = HttpProbe::new(fleet.fleet.plan.endpoints[3].admin)
        .get("/healthz")
        .unwrap();
    assert_eq!(health.status, 200);
}
