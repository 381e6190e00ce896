//! Tests with real processes that idempotency keys run at most once under faults.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use testkit::HttpProbe;

use crate::call_fleet::{self, CallFleet};

const SEED: u64 = 41;

/// Index of the `front` node that receives the first attempts.
const FIRST_ENTRY_NODE: usize = 3;
/// Index of the `front` node that receives the retries.
const SECOND_ENTRY_NODE: usize = 4;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn new_key(rng: &mut StdRng) -> String {
    format!("key-{:016x}", rng.random::<u64>())
}

/// Returns the headers of an attempt; `declared_first` states that no earlier attempt was made.
fn attempt_headers(
    key: &str,
    first_sent_at: Instant,
    declared_first: bool,
) -> Vec<(&'static str, String)> {
    let age = if declared_first {
        0
    } else {
        first_sent_at.elapsed().as_millis() + 1
    };
    vec![
        ("idempotency-key", key.to_owned()),
        ("x-first-attempt-age-ms", age.to_string()),
        ("x-deadline-ms", "2000".to_owned()),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    BackendKilled,
    NodeKilled,
    EntryKilled,
    NodeRestarted,
    NodePaused,
    RouteMoved,
}

/// Guards against a retry that runs the work again after a fault during the first attempt.
#[test]
fn a_key_runs_at_most_once_when_a_fault_interrupts_the_first_attempt() {
    let faults = [
        Fault::RouteMoved,
        Fault::BackendKilled,
        Fault::NodeKilled,
        Fault::EntryKilled,
        Fault::NodeRestarted,
        Fault::NodePaused,
    ];
    thread::scope(|scope| {
        let threads: Vec<_> = faults
            .map(|fault| scope.spawn(move || check_single_run(fault)))
            .into();
        let failed: Vec<_> = threads
            .into_iter()
            .zip(faults)
            .filter_map(|(thread, fault)| thread.join().is_err().then_some(fault))
            .collect();
        assert!(failed.is_empty(), "{failed:?}");
    });
}

/// Injects the fault while the first attempt runs and checks that retries do not run the key again.
fn check_single_run(fault: Fault) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut fleet = CallFleet::start(3, 2, |_| {});
    sleep_ms(3_000);
    let key = new_key(&mut rng);
    let first_sent_at = Instant::now();
    let address = fleet.caller_address(FIRST_ENTRY_NODE);
    let headers = attempt_headers(&key, first_sent_at, true);
    let attempt = thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &headers));
    let endpoint_index = fleet.wait_for_run(&key);
    // A killed backend server loses the count of the first attempt's run.
    let mut uncounted_runs = 0;
    match fault {
        Fault::BackendKilled => {
            fleet.fleet.backends[endpoint_index]
                .take()
                .unwrap()
                .kill()
                .unwrap();
            fleet.fleet.start_backend(endpoint_index).unwrap();
            uncounted_runs = 1;
        }
        Fault::NodeKilled => fleet.fleet.nodes[endpoint_index]
            .take()
            .unwrap()
            .kill()
            .unwrap(),
        Fault::EntryKilled => fleet.fleet.nodes[FIRST_ENTRY_NODE]
            .take()
            .unwrap()
            .kill()
            .unwrap(),
        Fault::NodeRestarted => {
            fleet.fleet.nodes[endpoint_index]
                .take()
                .unwrap()
                .kill()
                .unwrap();
            fleet.fleet.start_node(endpoint_index).unwrap();
        }
        Fault::NodePaused => fleet.node_process(endpoint_index).pause().unwrap(),
        Fault::RouteMoved => fleet
            .fleet
            .publish(&call_fleet::manifest(2, "front", 2))
            .unwrap(),
    }
    let mut responses = Vec::new();
    for round in 0..12 {
        let headers = attempt_headers(&key, first_sent_at, false);
        responses.push(fleet.call(SECOND_ENTRY_NODE, "POST", "/order/slow", &headers));
        if fault == Fault::NodePaused && round == 5 {
            fleet.node_process(endpoint_index).resume().unwrap();
        }
        sleep_ms(250);
    }
    responses.push(attempt.join().unwrap());
    let outcomes: Vec<_> = responses
        .iter()
        .map(|response| call_fleet::outcome_and_code(response.as_ref()))
        .collect();
    println!("{fault:?}: {outcomes:?}");
    let runs = fleet.run_counts().get(&key).copied().unwrap_or(0) + uncounted_runs;
    assert_eq!(runs, 1, "{fault:?}: {outcomes:?}");
    // The work has started, so no attempt may be reported as not run.
    assert!(
        outcomes.iter().all(|(outcome, _)| outcome != "not-run"),
        "{fault:?}: {outcomes:?}"
    );
    let record_reachable = matches!(
        fault,
        Fault::BackendKilled | Fault::EntryKilled | Fault::RouteMoved
    );
    if record_reachable && fault != Fault::BackendKilled {
        let replayed = outcomes.iter().any(|(outcome, _)| outcome == "ran");
        assert!(
            replayed,
            "{fault:?}: the recorded response is not replayed: {outcomes:?}"
        );
    }
}

/// Guards against a resumed node that runs a request which it received completely or half before
/// the pause, although another attempt has run or has been confirmed as not run meanwhile.
#[test]
fn a_resumed_node_does_not_run_requests_that_it_reads_late() {
    let mut rng = StdRng::seed_from_u64(SEED + 1);
    let mut fleet = CallFleet::start(3, 2, |_| {});
    sleep_ms(3_000);
    // The attempts wait in the socket of the paused node of an endpoint.
    let keys: Vec<String> = (0..6).map(|_| new_key(&mut rng)).collect();
    fleet.node_process(0).pause().unwrap();
    let first_attempts: Vec<_> = keys
        .iter()
        .map(|key| {
            let (address, first_sent_at) = (fleet.caller_address(FIRST_ENTRY_NODE), Instant::now());
            let headers = attempt_headers(key, first_sent_at, true);
            thread::spawn(move || {
                (
                    call_fleet::call(address, "POST", "/order", &headers),
                    first_sent_at,
                )
            })
        })
        .collect();
    let first_attempts: Vec<_> = first_attempts
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let mut retry_outcomes = Vec::new();
    for (key, (_, first_sent_at)) in keys.iter().zip(&first_attempts) {
        let headers = attempt_headers(key, *first_sent_at, false);
        retry_outcomes.push(call_fleet::outcome_and_code(
            fleet
                .call(SECOND_ENTRY_NODE, "POST", "/order", &headers)
                .as_ref(),
        ));
    }
    fleet.node_process(0).resume().unwrap();
    // The second half of a request is sent while the entry node is paused.
    let half_sent_key = new_key(&mut rng);
    let half_sent_at = Instant::now();
    let mut stream = TcpStream::connect(fleet.caller_address(FIRST_ENTRY_NODE)).unwrap();
    let head = format!(
        "POST /order/half HTTP/1.1\r\nhost: a\r\nidempotency-key: {half_sent_key}\r\n\
        x-first-attempt-age-ms: 0\r\nx-deadline-ms: 1500\r\ncontent-length: 4\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).unwrap();
    sleep_ms(200);
    fleet.node_process(FIRST_ENTRY_NODE).pause().unwrap();
    let headers = attempt_headers(&half_sent_key, half_sent_at, false);
    let half_sent_retry = call_fleet::outcome_and_code(
        fleet
            .call(SECOND_ENTRY_NODE, "POST", "/order/half", &headers)
            .as_ref(),
    );
    stream.write_all(b"cd").unwrap();
    sleep_ms(2_500);
    fleet.node_process(FIRST_ENTRY_NODE).resume().unwrap();
    sleep_ms(2_500);
    let runs = fleet.run_counts();
    println!("{retry_outcomes:?} {half_sent_retry:?} {runs:?}");
    for ((key, (response, _)), second_outcome) in
        keys.iter().zip(&first_attempts).zip(&retry_outcomes)
    {
        let first_outcome = call_fleet::outcome_and_code(response.as_ref());
        let count = runs.get(key).copied().unwrap_or(0);
        assert!(
            count <= 1,
            "{key} ran {count} times: {first_outcome:?}, {second_outcome:?}"
        );
        let ran = first_outcome.0 == "ran" || second_outcome.0 == "ran";
        assert!(!ran || count == 1, "{key}: a response without a run");
    }
    let count = runs.get(&half_sent_key).copied().unwrap_or(0);
    assert!(
        count <= 1 && (half_sent_retry.0 != "ran" || count == 1),
        "half-sent request: {count} runs, retry {half_sent_retry:?}"
    );
}

/// Guards against a second run when attempts with one key arrive through several nodes at once.
#[test]
fn two_entry_nodes_at_once_run_a_key_once() {
    let mut rng = StdRng::seed_from_u64(SEED + 2);
    let fleet = CallFleet::start(3, 2, |_| {});
    sleep_ms(3_000);
    let mut keys_run = 0;
    for round in 0..40 {
        let key = new_key(&mut rng);
        let delay_ms = rng.random_range(0..12);
        let first_sent_at = Instant::now();
        let outcomes: Vec<_> = thread::scope(|scope| {
            let attempts = [
                (FIRST_ENTRY_NODE, 0, true),
                (SECOND_ENTRY_NODE, delay_ms, round % 2 == 0),
                (0, delay_ms / 2, false),
            ];
            let threads = attempts.map(|(entry_node, delay_ms, declared_first)| {
                let (fleet, key) = (&fleet, &key);
                scope.spawn(move || {
                    sleep_ms(delay_ms);
                    let headers = attempt_headers(key, first_sent_at, declared_first);
                    call_fleet::outcome_and_code(
                        fleet.call(entry_node, "POST", "/order", &headers).as_ref(),
                    )
                })
            });
            threads.map(|thread| thread.join().unwrap()).into()
        });
        let count = fleet.run_counts().get(&key).copied().unwrap_or(0);
        assert!(count <= 1, "round {round}: {count} runs, {outcomes:?}");
        let ran = outcomes.iter().any(|(outcome, _)| outcome == "ran");
        assert_eq!(ran, count == 1, "round {round}: {outcomes:?}");
        keys_run += count;
    }
    println!("{keys_run} of 40 keys ran");
    fleet.check_and_stop();
}

/// Guards against a second run after a connection goes silent once a request has been written, and
/// against an outcome other than `unknown` for that request. New connections work.
#[test]
fn a_silent_connection_does_not_run_a_key_twice() {
    let mut rng = StdRng::seed_from_u64(SEED + 3);
    let mut proxy = None;
    let mut fleet = CallFleet::start(3, 2, |plan| {
        let process =
            testkit::ProcessGuard::start("fault-proxy", ["--control=127.0.0.1:0"]).unwrap();
        let mut mappings = Vec::new();
        let mut ports = testkit::PortRange::claim().unwrap();
        for endpoint in &plan.endpoints {
            let listen = ports.address().unwrap();
            mappings
                .push(json!({"name": endpoint.name, "listen": listen, "target": endpoint.peer}));
            plan.common_settings
                .set_text("dial", &format!("\"{}\"", endpoint.peer), listen);
        }
        let probe = HttpProbe::new(process.address("control").unwrap());
        let body = json!({"mappings": mappings}).to_string();
        assert_eq!(probe.post("/mapping", body.as_bytes()).unwrap().status, 200);
        proxy = Some((process, probe, ports));
    });
    let (_process, probe, _ports) = proxy.unwrap();
    sleep_ms(3_000);
    let mut log = Vec::new();
    for _ in 0..3 {
        let key = new_key(&mut rng);
        let (address, first_sent_at) = (fleet.caller_address(FIRST_ENTRY_NODE), Instant::now());
        let headers = attempt_headers(&key, first_sent_at, true);
        let attempt =
            thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &headers));
        // The fault starts only after the request has arrived: a request written to a connection
        // that is already silent is never received.
        sleep_ms(300);
        let fault = json!({"mode": "silent_open"}).to_string();
        assert_eq!(probe.post("/fault", fault.as_bytes()).unwrap().status, 200);
        let interrupted = call_fleet::outcome_and_code(attempt.join().unwrap().as_ref());
        let fault = json!({"mode": "none"}).to_string();
        probe.post("/fault", fault.as_bytes()).unwrap();
        assert_eq!(interrupted.0, "unknown", "{interrupted:?}");
        let mut last = interrupted;
        let end = Instant::now() + Duration::from_secs(12);
        while last.0 != "ran" && Instant::now() < end {
            let headers = attempt_headers(&key, first_sent_at, false);
            last = call_fleet::outcome_and_code(
                fleet
                    .call(SECOND_ENTRY_NODE, "POST", "/order/slow", &headers)
                    .as_ref(),
            );
            log.push((first_sent_at.elapsed().as_millis(), last.clone()));
            assert_ne!(last.0, "not-run", "{log:?}");
            sleep_ms(300);
        }
        assert_eq!(
            last.0, "ran",
            "the recorded response is not replayed: {log:?}"
        );
        assert_eq!(fleet.run_counts().get(&key), Some(&1), "{log:?}");
    }
    fleet.node_process(0);
}

/// Guards against a placed key that runs at another process than the one it names. After that
/// process has ended, a first attempt is refused as not run, and the outcome of a later attempt is
/// unknown.
#[test]
fn placed_keys_run_only_at_the_process_they_name() {
    let mut fleet = CallFleet::start(2, 1, |_| {});
    let issue = |fleet: &CallFleet| {
        let response = fleet.call(2, "POST", "/.endive/keys/desk", &[]).unwrap();
        assert_eq!(response.status, 200, "{}", response.text());
        response.text()
    };
    let order = |fleet: &CallFleet, key: &str, declared_first: bool| {
        let headers = attempt_headers(key, Instant::now(), declared_first);
        call_fleet::outcome_and_code(fleet.call(2, "POST", "/order", &headers).as_ref())
    };
    let key = issue(&fleet);
    // A placed key requires no settle time and runs once; later attempts get the recorded response.
    for declared_first in [true, true, false] {
        assert_eq!(
            order(&fleet, &key, declared_first),
            ("ran".to_owned(), "0".to_owned())
        );
    }
    assert_eq!(fleet.run_counts().get(&key), Some(&1));
    let key = issue(&fleet);
    let endpoint_index = fleet
        .fleet
        .plan
        .endpoints
        .iter()
        .position(|endpoint| key.contains(&endpoint.peer.to_string()))
        .unwrap();
    fleet.fleet.nodes[endpoint_index]
        .take()
        .unwrap()
        .kill()
        .unwrap();
    fleet.fleet.start_node(endpoint_index).unwrap();
    fleet
        .fleet
        .wait_ready(call_fleet::FLEET_TIMEOUT_MS)
        .unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    let mut result = order(&fleet, &key, true);
    while result.1 != "311" && Instant::now() < end {
        sleep_ms(100);
        result = order(&fleet, &key, true);
    }
    assert_eq!(result, ("not-run".to_owned(), "311".to_owned()));
    assert_eq!(
        order(&fleet, &key, false),
        ("unknown".to_owned(), "504".to_owned())
    );
    assert_eq!(fleet.run_counts().get(&key), None);
}
