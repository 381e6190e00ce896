//! Callers get their own whole answers, and refusals tell the truth, in real processes.

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

/// Checks that a whole answer repeats what its own request said.
fn check_own(answer: &HttpResponse, path: &str, tag: &str, bytes: usize) {
    let value = answer.body_json();
    let seen = (
        value["path"].as_str(),
        value["tag"].as_str(),
        value["received_bytes"].as_u64(),
    );
    assert_eq!(
        seen,
        (Some(path), Some(tag), Some(bytes as u64)),
        "{}",
        answer.text()
    );
    let padding = value["padding"].as_str().map(str::len);
    assert_eq!(padding, Some(3_000), "{}", answer.text());
}

/// Calls that interleave on shared connections between nodes, some of them late, must not get each
/// other's answers or cut ones, also while backend servers close in the middle of a body.
#[test]
fn each_caller_gets_its_own_whole_answer() {
    let prepare = |plan: &mut testkit::FleetPlan| {
        plan.backend_arguments
            .push("--answer-bytes=3000".to_owned());
    };
    let fleet = CallFleet::start(2, 1, prepare);
    let stop = Instant::now() + Duration::from_secs(6);
    let tallies = Mutex::new(BTreeMap::<String, u64>::new());
    thread::scope(|scope| {
        for caller in 0..12 {
            let (fleet, tallies) = (&fleet, &tallies);
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED + caller);
                let address = fleet.caller(rng.random_range(0..3));
                let mut client = None;
                for number in 0.. {
                    if Instant::now() >= stop {
                        return;
                    }
                    let connection = client.take();
                    let mut connection = connection.unwrap_or_else(|| {
                        BlockingClient::connect(address, Duration::from_secs(5)).unwrap()
                    });
                    // Slow work with a short deadline ends as a late answer.
                    let (method, path) = match rng.random_range(0..10) {
                        0 => ("GET", format!("/look/slow/{caller}/{number}")),
                        1..4 => ("POST", format!("/order/{caller}/{number}")),
                        _ => ("GET", format!("/look/{caller}/{number}")),
                    };
                    let tag = format!("{caller}-{number}");
                    let deadline = rng.random_range(30..600);
                    let headers = [
                        ("x-request-tag", tag.clone()),
                        ("x-deadline-ms", deadline.to_string()),
                    ];
                    let body = vec![b'b'; rng.random_range(0..20_000)];
                    let answer = connection.call(method, &path, &headers, &body);
                    let answer = answer.unwrap_or_else(|error| panic!("{path}: {error}"));
                    let (outcome, code) = call_fleet::outcome(Some(&answer));
                    if outcome == "ran" && answer.status == 200 {
                        check_own(&answer, &path, &tag, body.len());
                    }
                    let name = format!("{outcome} {code} {}", answer.status);
                    *tallies.lock().unwrap().entry(name).or_default() += 1;
                    if answer.header("connection") != Some("close") {
                        client = Some(connection);
                    }
                }
            });
        }
        for round in 0..8 {
            thread::sleep(Duration::from_millis(600));
            let mode = if round % 2 == 0 { "cut" } else { "none" };
            let fault = json!({"mode": mode, "after_bytes": 700});
            fleet.set_fault(round / 2 % 2, &fault);
        }
    });
    let tallies = tallies.into_inner().unwrap();
    println!("{tallies:?}");
    assert!(tallies["ran 0 200"] > 200, "{tallies:?}");
    fleet.finish();
}

/// A caller whose call timed out and who uses the connection again must not get the late answer.
#[test]
fn a_connection_is_usable_after_a_timeout() {
    let prepare = |plan: &mut testkit::FleetPlan| {
        plan.backend_arguments
            .push("--answer-bytes=3000".to_owned());
    };
    let fleet = CallFleet::start(1, 1, prepare);
    for entry in [0, 1] {
        let address = fleet.caller(entry);
        let mut client = BlockingClient::connect(address, Duration::from_secs(5)).unwrap();
        for round in 0..4 {
            for (path, deadline, timely) in
                [("/look/slow", 60, false), ("/look/quick", 2_000, true)]
            {
                let tag = format!("{entry}-{round}-{deadline}");
                let headers = [
                    ("x-request-tag", tag.clone()),
                    ("x-deadline-ms", deadline.to_string()),
                ];
                let answer = client.call("GET", path, &headers, &[]).unwrap();
                let (outcome, code) = call_fleet::outcome(Some(&answer));
                assert_eq!(
                    outcome == "ran" && answer.status == 200,
                    timely,
                    "{path}: {outcome} {code}"
                );
                if timely {
                    check_own(&answer, path, &tag, 0);
                }
                if answer.header("connection") == Some("close") {
                    client = BlockingClient::connect(address, Duration::from_secs(5)).unwrap();
                }
            }
        }
    }
    fleet.finish();
}

/// A call that was refused as "not run" under overload, kills and restarts must not have run, and
/// an answer must come from a run.
#[test]
fn refusals_that_say_not_run_are_true() {
    let mut fleet = CallFleet::start(3, 1, |plan| {
        plan.common_settings.set("call", "queue_limit", "2");
    });
    thread::sleep(Duration::from_millis(1_500));
    let entry = fleet.caller(3);
    let stop = Instant::now() + Duration::from_secs(9);
    let ends = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for caller in 0..16 {
            let ends = &ends;
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED * 100 + caller);
                while Instant::now() < stop {
                    let key = format!("key-{:016x}", rng.random::<u64>());
                    let headers = [
                        ("idempotency-key", key.clone()),
                        ("x-first-attempt-age-ms", "0".to_owned()),
                        ("x-deadline-ms", rng.random_range(5..400).to_string()),
                    ];
                    let answer = call_fleet::call(entry, "POST", "/order", &headers);
                    let end = call_fleet::outcome(answer.as_ref());
                    ends.lock()
                        .unwrap()
                        .push((key, end, answer.map(|answer| answer.status)));
                    if rng.random_bool(0.2) {
                        thread::sleep(Duration::from_millis(rng.random_range(0..30)));
                    }
                }
            });
        }
        // Nodes are killed, so that the counters of the backend servers stay.
        for round in 0..3 {
            thread::sleep(Duration::from_millis(1_500));
            fleet.fleet.nodes[round].take().unwrap().kill().unwrap();
            thread::sleep(Duration::from_millis(700));
            fleet.fleet.start_node(round).unwrap();
        }
    });
    let runs = fleet.runs();
    let ends = ends.into_inner().unwrap();
    let mut tallies = BTreeMap::<String, u64>::new();
    for (key, (outcome, code), status) in &ends {
        let count = runs.get(key).copied().unwrap_or(0);
        *tallies
            .entry(format!("{outcome} {code} ran {count}"))
            .or_default() += 1;
        match outcome.as_str() {
            "not-run" => assert_eq!(count, 0, "{key} refused with {code} ran {count} times"),
            "ran" if *status == Some(200) => {
                assert_eq!(count, 1, "{key} answered, ran {count} times");
            }
            _ => assert!(
                count <= 1,
                "{key} ended as {outcome} {code}, ran {count} times"
            ),
        }
    }
    println!("{tallies:?}");
    assert!(
        tallies.keys().any(|name| name.starts_with("not-run")),
        "{tallies:?}"
    );
    let violations = fleet.counts("slot_violations");
    println!("slot violations with killed nodes: {violations:?}");
    let health = HttpProbe::new(fleet.fleet.plan.endpoints[3].admin)
        .get("/healthz")
        .unwrap();
    assert_eq!(health.status, 200);
}
