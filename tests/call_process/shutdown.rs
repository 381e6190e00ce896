//! Tests graceful and forced shutdown, draining and slot limits under load.

use std::fs::{self, File};
use std::io;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use testkit::{HttpProbe, ProcessGuard};

use crate::call_fleet::{self, CallFleet};

const SEED: u64 = 47;

/// Path, outcome and result code of each call.
type CallResults = Vec<(String, (String, String))>;

/// Sends lookups and orders from eight callers to the entry nodes while the body runs.
fn run_under_load<Body>(fleet: &mut CallFleet, entry_nodes: &[usize], body: Body) -> CallResults
where
    Body: FnOnce(&mut CallFleet),
{
    let addresses: Vec<_> = entry_nodes
        .iter()
        .map(|index| fleet.caller_address(*index))
        .collect();
    let (stopped, results) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for caller in 0..8 {
            let (stopped, results, addresses) = (&stopped, &results, &addresses);
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED + caller);
                while !stopped.load(Ordering::SeqCst) {
                    let address = addresses[rng.random_range(0..addresses.len())];
                    let (method, path) = match rng.random_range(0..10) {
                        0 => ("POST", "/order/slow"),
                        1..4 => ("POST", "/order"),
                        _ => ("GET", "/look"),
                    };
                    let result = match call_fleet::try_call(address, method, path, &[]) {
                        Ok(response) => call_fleet::outcome_and_code(Some(&response)),
                        // The listener is closed, so the node has not accepted the call.
                        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                            ("not-run".to_owned(), "connect".to_owned())
                        }
                        Err(error) => ("none".to_owned(), error.to_string()),
                    };
                    results.lock().unwrap().push((path.to_owned(), result));
                    thread::sleep(Duration::from_millis(rng.random_range(5..40)));
                }
            });
        }
        body(fleet);
        stopped.store(true, Ordering::SeqCst);
    });
    results.into_inner().unwrap()
}

/// Returns the calls that neither ran nor were refused without a run.
fn find_interrupted(results: &CallResults) -> Vec<&(String, (String, String))> {
    let is_expected = |outcome: &str| matches!(outcome, "ran" | "not-run");
    results
        .iter()
        .filter(|(_, (outcome, _))| !is_expected(outcome))
        .collect()
}

/// Guards against requests that are interrupted when an entry node or the node of an endpoint
/// leaves under load, and against an exit code other than 0.
#[test]
fn graceful_shutdown_interrupts_no_request() {
    let mut fleet = CallFleet::start(3, 2, |_| {});
    let mut codes = Vec::new();
    // Calls enter through nodes 0, 3 and 4. Node 1 leaves as the node of an endpoint only, node 4
    // also as an entry node.
    let results = run_under_load(&mut fleet, &[0, 3, 4], |fleet| {
        for leaving_node in [1, 4] {
            thread::sleep(Duration::from_millis(1_200));
            let mut node = fleet.fleet.nodes[leaving_node].take().unwrap();
            node.terminate().unwrap();
            codes.push(node.wait(35_000).unwrap().code());
        }
        thread::sleep(Duration::from_millis(500));
    });
    assert_eq!(codes, [Some(0), Some(0)]);
    let interrupted_calls = find_interrupted(&results);
    println!(
        "{} calls, interrupted: {interrupted_calls:?}",
        results.len()
    );
    assert!(
        interrupted_calls.is_empty() && results.len() > 100,
        "{interrupted_calls:?}"
    );
    fleet.check_and_stop();
}

/// Guards against requests that an entry node and the node of an endpoint have accepted before
/// SIGTERM and do not answer.
#[test]
fn requests_in_flight_at_sigterm_are_answered() {
    let mut fleet = CallFleet::start(1, 1, |_| {});
    let address = fleet.caller_address(1);
    let calls: Vec<_> = (0..6)
        .map(|_| thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &[])))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let mut codes = Vec::new();
    for index in [1, 0] {
        fleet.node_process(index).terminate().unwrap();
    }
    for thread in calls {
        let response = thread.join().unwrap();
        assert_eq!(call_fleet::outcome_and_code(response.as_ref()).0, "ran");
    }
    for index in [1, 0] {
        codes.push(fleet.node_process(index).wait(35_000).unwrap().code());
    }
    assert_eq!(codes, [Some(0), Some(0)]);
}

/// Guards against a node that does not exit at once on a second SIGTERM, with exit code 3 and the
/// number of interrupted calls in its log.
#[test]
fn a_second_sigterm_exits_at_once_and_logs_interrupted_calls() {
    let mut fleet = CallFleet::start(1, 1, |plan| {
        plan.common_settings.set_text("", "log_level", "warn");
    });
    // Restarts the node with its log written to a file.
    fleet.node_process(0).kill().unwrap();
    let settings = fleet.fleet.plan.write_settings(0).unwrap();
    let log = settings.with_extension("log");
    let mut command = Command::new(ProcessGuard::program_path("endive-node").unwrap());
    let file = File::create(&log).unwrap();
    command
        .args(["run", "--settings"])
        .arg(settings)
        .stderr(file);
    fleet.fleet.nodes[0] = Some(ProcessGuard::start_command(command).unwrap());
    fleet
        .fleet
        .wait_ready(call_fleet::FLEET_TIMEOUT_MS)
        .unwrap();
    thread::sleep(Duration::from_millis(1_500));
    let address = fleet.caller_address(1);
    let call = thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &[]));
    thread::sleep(Duration::from_millis(300));
    fleet.node_process(0).terminate().unwrap();
    thread::sleep(Duration::from_millis(200));
    fleet.node_process(0).terminate().unwrap();
    assert_eq!(fleet.node_process(0).wait(5_000).unwrap().code(), Some(3));
    let text = fs::read_to_string(log).unwrap();
    assert!(text.contains("event=stopped_by_force cut=1"), "{text}");
    // The backend server may continue the work, so the outcome must not be `not-run`.
    let (outcome, code) = call_fleet::outcome_and_code(call.join().unwrap().as_ref());
    assert_eq!(outcome, "unknown", "{code}");
}

/// Guards against a draining backend server that still receives new work after 3 s, and against
/// calls that are interrupted meanwhile.
#[test]
fn a_draining_backend_server_gets_no_new_work() {
    let mut fleet = CallFleet::start(3, 1, |_| {});
    let results = run_under_load(&mut fleet, &[0, 1, 3], |fleet| {
        thread::sleep(Duration::from_millis(700));
        fleet.set_backend_fault(1, &json!({"mode": "drain"}));
        thread::sleep(Duration::from_millis(6_000));
    });
    let counters = HttpProbe::new(fleet.fleet.plan.endpoints[1].control)
        .get("/counts")
        .unwrap()
        .body_json();
    let last = counters["last_request_after_drain_ms"].as_u64().unwrap();
    println!(
        "{} calls, last request {last} ms after draining began: {counters}",
        results.len()
    );
    assert!(
        find_interrupted(&results).is_empty(),
        "{:?}",
        find_interrupted(&results)
    );
    // The requirements allow a few seconds.
    assert!(last < 3_000, "{counters}");
    fleet.check_and_stop();
}

/// Guards against more running calls than slots when calls are cancelled, hedged, have short
/// deadlines, or lose their callers.
#[test]
fn slots_are_never_exceeded() {
    let mut fleet = CallFleet::start(2, 1, |plan| {
        plan.backend_arguments.push("--spread=0.9".to_owned());
    });
    let addresses = [0, 1, 2].map(|index| fleet.caller_address(index));
    let end_time = Instant::now() + Duration::from_secs(8);
    thread::scope(|scope| {
        for caller in 0..24 {
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED * 10 + caller);
                while Instant::now() < end_time {
                    let address = addresses[rng.random_range(0..3)];
                    let path = ["/look", "/look/slow", "/look", "/order"][rng.random_range(0..4)];
                    let method = if path == "/order" { "POST" } else { "GET" };
                    let headers = [("x-deadline-ms", rng.random_range(5..500).to_string())];
                    // A short client timeout closes the connection in the middle of the call.
                    let client_timeout_ms = rng.random_range(2..500);
                    let probe = HttpProbe::with_timeout(address, client_timeout_ms);
                    let _ = probe.call(method, path, &headers, &[]);
                }
            });
        }
        for round in 0..4 {
            thread::sleep(Duration::from_millis(900));
            fleet.set_backend_fault(
                round % 2,
                &json!({"mode": "slow", "factor": 10.0, "for_ms": 800}),
            );
        }
    });
    let peaks = fleet.backend_counters("running_peak");
    println!(
        "running peaks {peaks:?}, cancelled {:?}",
        fleet.backend_counters("cancelled")
    );
    assert!(
        peaks[0] == 2 && fleet.backend_counters("cancelled").iter().sum::<u64>() > 0,
        "{peaks:?}"
    );
    thread::sleep(Duration::from_millis(1_000));
    fleet.node_process(0);
    fleet.check_and_stop();
}

/// Guards against a leaving node that rejects the nested calls of work that it had queued before.
#[test]
fn queued_work_makes_nested_calls_while_its_node_leaves() {
    let mut fleet = CallFleet::start(1, 1, |plan| {
        let front = plan.endpoints[1].caller;
        plan.backend_arguments.extend([
            format!("--nest=/nested=http://{front}/look"),
            "--work=/nested/slow=1500ms".to_owned(),
        ]);
    });
    let address = fleet.caller_address(1);
    // Two calls run concurrently; the other two start after the node has stopped accepting new
    // work.
    let calls: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || call_fleet::call(address, "GET", "/nested/slow", &[])))
        .collect();
    thread::sleep(Duration::from_millis(300));
    fleet.node_process(1).terminate().unwrap();
    for thread in calls {
        let response = thread.join().unwrap().unwrap();
        assert_eq!(
            response.body_json()["nested"]["status"],
            200,
            "{}",
            response.text()
        );
    }
    assert_eq!(fleet.node_process(1).wait(35_000).unwrap().code(), Some(0));
}
