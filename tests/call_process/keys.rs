//! Keys run at most once in real processes under faults.

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

/// Index of the first `front` node, through which calls enter.
const ENTRY: usize = 3;
const OTHER: usize = 4;

fn wait(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn new_key(rng: &mut StdRng) -> String {
    format!("key-{:016x}", rng.random::<u64>())
}

fn headers(key: &str, first: Instant, declared: bool) -> Vec<(&'static str, String)> {
    let age = if declared {
        0
    } else {
        first.elapsed().as_millis() + 1
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

/// A retry after a fault in the middle of the first attempt must not run the work again.
#[test]
fn a_key_runs_at_most_once_when_a_part_fails_in_the_middle() {
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
            .map(|fault| scope.spawn(move || fail_in_the_middle(fault)))
            .into();
        let failed: Vec<_> = threads
            .into_iter()
            .zip(faults)
            .filter_map(|(thread, fault)| thread.join().is_err().then_some(fault))
            .collect();
        assert!(failed.is_empty(), "{failed:?}");
    });
}

fn fail_in_the_middle(fault: Fault) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut fleet = CallFleet::start(3, 2, |_| {});
    wait(3_000);
    let key = new_key(&mut rng);
    let first = Instant::now();
    let address = fleet.caller(ENTRY);
    let sent = headers(&key, first, true);
    let attempt = thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &sent));
    let place = fleet.wait_run(&key);
    // The run of the first attempt is not in the counters of a backend server that was killed.
    let mut lost = 0;
    match fault {
        Fault::BackendKilled => {
            fleet.fleet.backends[place].take().unwrap().kill().unwrap();
            fleet.fleet.start_backend(place).unwrap();
            lost = 1;
        }
        Fault::NodeKilled => fleet.fleet.nodes[place].take().unwrap().kill().unwrap(),
        Fault::EntryKilled => fleet.fleet.nodes[ENTRY].take().unwrap().kill().unwrap(),
        Fault::NodeRestarted => {
            fleet.fleet.nodes[place].take().unwrap().kill().unwrap();
            fleet.fleet.start_node(place).unwrap();
        }
        Fault::NodePaused => fleet.node(place).pause().unwrap(),
        Fault::RouteMoved => fleet
            .fleet
            .publish(&call_fleet::manifest(2, "front", 2))
            .unwrap(),
    }
    let mut answers = Vec::new();
    for round in 0..12 {
        let sent = headers(&key, first, false);
        answers.push(fleet.call(OTHER, "POST", "/order/slow", &sent));
        if fault == Fault::NodePaused && round == 5 {
            fleet.node(place).resume().unwrap();
        }
        wait(250);
    }
    answers.push(attempt.join().unwrap());
    let outcomes: Vec<_> = answers
        .iter()
        .map(|answer| call_fleet::outcome(answer.as_ref()))
        .collect();
    println!("{fault:?}: {outcomes:?}");
    let runs = fleet.runs().get(&key).copied().unwrap_or(0) + lost;
    assert_eq!(runs, 1, "{fault:?}: {outcomes:?}");
    // The work runs, so neither attempt may be told that it did not.
    assert!(
        outcomes.iter().all(|(outcome, _)| outcome != "not-run"),
        "{fault:?}: {outcomes:?}"
    );
    let alive = matches!(
        fault,
        Fault::BackendKilled | Fault::EntryKilled | Fault::RouteMoved
    );
    if alive && fault != Fault::BackendKilled {
        let replayed = outcomes.iter().any(|(outcome, _)| outcome == "ran");
        assert!(
            replayed,
            "{fault:?}: the recorded answer is not replayed: {outcomes:?}"
        );
    }
}

/// A node that was paused before it read a request, or half of it, must not run it after another
/// attempt ran or was vouched for.
#[test]
fn a_paused_node_does_not_run_what_it_reads_late() {
    let mut rng = StdRng::seed_from_u64(SEED + 1);
    let mut fleet = CallFleet::start(3, 2, |_| {});
    wait(3_000);
    // The attempt waits in the socket of a paused endpoint node.
    let keys: Vec<String> = (0..6).map(|_| new_key(&mut rng)).collect();
    fleet.node(0).pause().unwrap();
    let firsts: Vec<_> = keys
        .iter()
        .map(|key| {
            let (address, first) = (fleet.caller(ENTRY), Instant::now());
            let sent = headers(key, first, true);
            thread::spawn(move || (call_fleet::call(address, "POST", "/order", &sent), first))
        })
        .collect();
    let firsts: Vec<_> = firsts
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let mut seen = Vec::new();
    for (key, (_, first)) in keys.iter().zip(&firsts) {
        let sent = headers(key, *first, false);
        seen.push(call_fleet::outcome(
            fleet.call(OTHER, "POST", "/order", &sent).as_ref(),
        ));
    }
    fleet.node(0).resume().unwrap();
    // A half-sent request is finished after the entry node was paused.
    let half = new_key(&mut rng);
    let begun = Instant::now();
    let mut stream = TcpStream::connect(fleet.caller(ENTRY)).unwrap();
    let head = format!(
        "POST /order/half HTTP/1.1\r\nhost: a\r\nidempotency-key: {half}\r\n\
        x-first-attempt-age-ms: 0\r\nx-deadline-ms: 1500\r\ncontent-length: 4\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).unwrap();
    wait(200);
    fleet.node(ENTRY).pause().unwrap();
    let sent = headers(&half, begun, false);
    let retried = call_fleet::outcome(fleet.call(OTHER, "POST", "/order/half", &sent).as_ref());
    stream.write_all(b"cd").unwrap();
    wait(2_500);
    fleet.node(ENTRY).resume().unwrap();
    wait(2_500);
    let runs = fleet.runs();
    println!("{seen:?} {retried:?} {runs:?}");
    for ((key, (answer, _)), second) in keys.iter().zip(&firsts).zip(&seen) {
        let first = call_fleet::outcome(answer.as_ref());
        let count = runs.get(key).copied().unwrap_or(0);
        assert!(count <= 1, "{key} ran {count} times: {first:?}, {second:?}");
        let ran = first.0 == "ran" || second.0 == "ran";
        assert!(!ran || count == 1, "{key}: an answer without a run");
    }
    let count = runs.get(&half).copied().unwrap_or(0);
    assert!(
        count <= 1 && (retried.0 != "ran" || count == 1),
        "half sent: {count} {retried:?}"
    );
}

/// Attempts with one key that arrive through two nodes at once must not run twice.
#[test]
fn two_entry_nodes_at_once_run_a_key_once() {
    let mut rng = StdRng::seed_from_u64(SEED + 2);
    let fleet = CallFleet::start(3, 2, |_| {});
    wait(3_000);
    let mut wins = 0;
    for round in 0..40 {
        let key = new_key(&mut rng);
        let gap = rng.random_range(0..12);
        let first = Instant::now();
        let outcomes: Vec<_> = thread::scope(|scope| {
            let attempts = [
                (ENTRY, 0, true),
                (OTHER, gap, round % 2 == 0),
                (0, gap / 2, false),
            ];
            let threads = attempts.map(|(entry, delay, declared)| {
                let (fleet, key) = (&fleet, &key);
                scope.spawn(move || {
                    wait(delay);
                    let sent = headers(key, first, declared);
                    call_fleet::outcome(fleet.call(entry, "POST", "/order", &sent).as_ref())
                })
            });
            threads.map(|thread| thread.join().unwrap()).into()
        });
        let count = fleet.runs().get(&key).copied().unwrap_or(0);
        assert!(count <= 1, "round {round}: {count} runs, {outcomes:?}");
        let ran = outcomes.iter().any(|(outcome, _)| outcome == "ran");
        assert_eq!(ran, count == 1, "round {round}: {outcomes:?}");
        wins += count;
    }
    println!("{wins} of 40 keys ran");
    fleet.finish();
}

/// A connection that goes silent with a written request must end as unknown and must not lead to a
/// second run; new connections work.
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
    wait(3_000);
    let mut log = Vec::new();
    for _ in 0..3 {
        let key = new_key(&mut rng);
        let (address, first) = (fleet.caller(ENTRY), Instant::now());
        let sent = headers(&key, first, true);
        let attempt =
            thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &sent));
        // A request on a connection that was silent before never arrives.
        wait(300);
        let fault = json!({"mode": "silent_open"}).to_string();
        assert_eq!(probe.post("/fault", fault.as_bytes()).unwrap().status, 200);
        let lost = call_fleet::outcome(attempt.join().unwrap().as_ref());
        let fault = json!({"mode": "none"}).to_string();
        probe.post("/fault", fault.as_bytes()).unwrap();
        assert_eq!(lost.0, "unknown", "{lost:?}");
        let mut last = lost;
        let end = Instant::now() + Duration::from_secs(12);
        while last.0 != "ran" && Instant::now() < end {
            let sent = headers(&key, first, false);
            last = call_fleet::outcome(fleet.call(OTHER, "POST", "/order/slow", &sent).as_ref());
            log.push((first.elapsed().as_millis(), last.clone()));
            assert_ne!(last.0, "not-run", "{log:?}");
            wait(300);
        }
        assert_eq!(
            last.0, "ran",
            "the recorded answer is not replayed: {log:?}"
        );
        assert_eq!(fleet.runs().get(&key), Some(&1), "{log:?}");
    }
    fleet.node(0);
}

/// Placed keys run at the process that they name or nowhere; a first attempt after its end is
/// refused as not run, a later one is unknown.
#[test]
fn placed_keys_run_where_they_name_or_nowhere() {
    let mut fleet = CallFleet::start(2, 1, |_| {});
    let issue = |fleet: &CallFleet| {
        let answer = fleet.call(2, "POST", "/.endive/keys/desk", &[]).unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.text()
    };
    let order = |fleet: &CallFleet, key: &str, declared: bool| {
        let sent = headers(key, Instant::now(), declared);
        call_fleet::outcome(fleet.call(2, "POST", "/order", &sent).as_ref())
    };
    let key = issue(&fleet);
    // A placed key needs no settle time, runs once, and is replayed.
    for declared in [true, true, false] {
        assert_eq!(
            order(&fleet, &key, declared),
            ("ran".to_owned(), "0".to_owned())
        );
    }
    assert_eq!(fleet.runs().get(&key), Some(&1));
    let key = issue(&fleet);
    let place = fleet
        .fleet
        .plan
        .endpoints
        .iter()
        .position(|endpoint| key.contains(&endpoint.peer.to_string()))
        .unwrap();
    fleet.fleet.nodes[place].take().unwrap().kill().unwrap();
    fleet.fleet.start_node(place).unwrap();
    fleet.fleet.wait_ready(call_fleet::FLEET_LIMIT_MS).unwrap();
    let end = Instant::now() + Duration::from_secs(5);
    let mut first = order(&fleet, &key, true);
    while first.1 != "311" && Instant::now() < end {
        wait(100);
        first = order(&fleet, &key, true);
    }
    assert_eq!(first, ("not-run".to_owned(), "311".to_owned()));
    assert_eq!(
        order(&fleet, &key, false),
        ("unknown".to_owned(), "504".to_owned())
    );
    assert_eq!(fleet.runs().get(&key), None);
}
