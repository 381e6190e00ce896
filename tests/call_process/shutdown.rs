//! Graceful and forced shutdown, draining and slots under load.

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

/// Ends of calls: path, outcome and result code.
type CallEnds = Vec<(String, (String, String))>;

/// Sends calls of all kinds from eight callers to the entries until told to stop.
fn load<Body>(fleet: &mut CallFleet, entries: &[usize], body: Body) -> CallEnds
where
    Body: FnOnce(&mut CallFleet),
{
    let addresses: Vec<_> = entries.iter().map(|index| fleet.caller(*index)).collect();
    let (stop, ends) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for caller in 0..8 {
            let (stop, ends, addresses) = (&stop, &ends, &addresses);
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED + caller);
                while !stop.load(Ordering::SeqCst) {
                    let address = addresses[rng.random_range(0..addresses.len())];
                    let (method, path) = match rng.random_range(0..10) {
                        0 => ("POST", "/order/slow"),
                        1..4 => ("POST", "/order"),
                        _ => ("GET", "/look"),
                    };
                    let end = match call_fleet::try_call(address, method, path, &[]) {
                        Ok(answer) => call_fleet::outcome(Some(&answer)),
                        // The listener is closed: the call was not taken.
                        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                            ("not-run".to_owned(), "connect".to_owned())
                        }
                        Err(error) => ("none".to_owned(), error.to_string()),
                    };
                    ends.lock().unwrap().push((path.to_owned(), end));
                    thread::sleep(Duration::from_millis(rng.random_range(5..40)));
                }
            });
        }
        body(fleet);
        stop.store(true, Ordering::SeqCst);
    });
    ends.into_inner().unwrap()
}

/// Returns the ends that are neither an answer nor a refusal without a run.
fn cut(ends: &CallEnds) -> Vec<&(String, (String, String))> {
    let fine = |outcome: &str| matches!(outcome, "ran" | "not-run");
    ends.iter()
        .filter(|(_, (outcome, _))| !fine(outcome))
        .collect()
}

/// A node that leaves under load, as entry and as endpoint, must cut no request and end with 0.
#[test]
fn graceful_shutdown_cuts_no_request() {
    let mut fleet = CallFleet::start(3, 2, |_| {});
    let mut codes = Vec::new();
    // Calls enter through nodes 0 and 3 to 4; node 1 leaves as an endpoint, node 4 as an entry too.
    let ends = load(&mut fleet, &[0, 3, 4], |fleet| {
        for leaving in [1, 4] {
            thread::sleep(Duration::from_millis(1_200));
            let mut node = fleet.fleet.nodes[leaving].take().unwrap();
            node.terminate().unwrap();
            codes.push(node.wait(35_000).unwrap().code());
        }
        thread::sleep(Duration::from_millis(500));
    });
    assert_eq!(codes, [Some(0), Some(0)]);
    let cut = cut(&ends);
    println!("{} calls, cut: {cut:?}", ends.len());
    assert!(cut.is_empty() && ends.len() > 100, "{cut:?}");
    fleet.finish();
}

/// Requests that an entry node and an endpoint node hold at SIGTERM must be answered.
#[test]
fn requests_in_flight_at_sigterm_are_answered() {
    let mut fleet = CallFleet::start(1, 1, |_| {});
    let address = fleet.caller(1);
    let held: Vec<_> = (0..6)
        .map(|_| thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &[])))
        .collect();
    thread::sleep(Duration::from_millis(300));
    let mut codes = Vec::new();
    for index in [1, 0] {
        fleet.node(index).terminate().unwrap();
    }
    for thread in held {
        let answer = thread.join().unwrap();
        assert_eq!(call_fleet::outcome(answer.as_ref()).0, "ran");
    }
    for index in [1, 0] {
        codes.push(fleet.node(index).wait(35_000).unwrap().code());
    }
    assert_eq!(codes, [Some(0), Some(0)]);
}

/// A second SIGTERM must end the node at once, with exit code 3 and the number of calls that it
/// cut in the log.
#[test]
fn a_second_sigterm_ends_with_a_count() {
    let mut fleet = CallFleet::start(1, 1, |plan| {
        plan.common_settings.set_text("", "log_level", "warn");
    });
    // The node is started again with its log in a file.
    fleet.node(0).kill().unwrap();
    let settings = fleet.fleet.plan.write_settings(0).unwrap();
    let log = settings.with_extension("log");
    let mut command = Command::new(ProcessGuard::program_path("endive-node").unwrap());
    let file = File::create(&log).unwrap();
    command
        .args(["run", "--settings"])
        .arg(settings)
        .stderr(file);
    fleet.fleet.nodes[0] = Some(ProcessGuard::start_command(command).unwrap());
    fleet.fleet.wait_ready(call_fleet::FLEET_LIMIT_MS).unwrap();
    thread::sleep(Duration::from_millis(1_500));
    let address = fleet.caller(1);
    let held = thread::spawn(move || call_fleet::call(address, "POST", "/order/slow", &[]));
    thread::sleep(Duration::from_millis(300));
    fleet.node(0).terminate().unwrap();
    thread::sleep(Duration::from_millis(200));
    fleet.node(0).terminate().unwrap();
    assert_eq!(fleet.node(0).wait(5_000).unwrap().code(), Some(3));
    let text = fs::read_to_string(log).unwrap();
    assert!(text.contains("event=stopped_by_force cut=1"), "{text}");
    // The work may run on at the backend server, so nobody may say that it did not run.
    let (outcome, code) = call_fleet::outcome(held.join().unwrap().as_ref());
    assert_eq!(outcome, "unknown", "{code}");
}

/// A backend server that drains must get no new work after the stated few seconds, and nothing is
/// cut meanwhile.
#[test]
fn a_draining_backend_server_gets_no_new_work() {
    let mut fleet = CallFleet::start(3, 1, |_| {});
    let ends = load(&mut fleet, &[0, 1, 3], |fleet| {
        thread::sleep(Duration::from_millis(700));
        fleet.set_fault(1, &json!({"mode": "drain"}));
        thread::sleep(Duration::from_millis(6_000));
    });
    let value = HttpProbe::new(fleet.fleet.plan.endpoints[1].control)
        .get("/counts")
        .unwrap()
        .body_json();
    let last = value["last_request_after_drain_ms"].as_u64().unwrap();
    println!(
        "{} calls, last request {last} ms after the drain began: {value}",
        ends.len()
    );
    assert!(cut(&ends).is_empty(), "{:?}", cut(&ends));
    // Stated target: a few seconds.
    assert!(last < 3_000, "{value}");
    fleet.finish();
}

/// Cancellations, hedges, short deadlines and callers that go away must not let more calls run
/// than there are slots.
#[test]
fn slots_are_never_exceeded() {
    let mut fleet = CallFleet::start(2, 1, |plan| {
        plan.backend_arguments.push("--spread=0.9".to_owned());
    });
    let addresses = [0, 1, 2].map(|index| fleet.caller(index));
    let stop = Instant::now() + Duration::from_secs(8);
    thread::scope(|scope| {
        for caller in 0..24 {
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(SEED * 10 + caller);
                while Instant::now() < stop {
                    let address = addresses[rng.random_range(0..3)];
                    let path = ["/look", "/look/slow", "/look", "/order"][rng.random_range(0..4)];
                    let method = if path == "/order" { "POST" } else { "GET" };
                    let headers = [("x-deadline-ms", rng.random_range(5..500).to_string())];
                    // Short patience closes the connection in the middle of the call.
                    let patience = rng.random_range(2..500);
                    let probe = HttpProbe::with_timeout(address, patience);
                    let _ = probe.call(method, path, &headers, &[]);
                }
            });
        }
        for round in 0..4 {
            thread::sleep(Duration::from_millis(900));
            fleet.set_fault(
                round % 2,
                &json!({"mode": "slow", "factor": 10.0, "for_ms": 800}),
            );
        }
    });
    let peaks = fleet.counts("running_peak");
    println!("peaks {peaks:?}, cancelled {:?}", fleet.counts("cancelled"));
    assert!(
        peaks[0] == 2 && fleet.counts("cancelled").iter().sum::<u64>() > 0,
        "{peaks:?}"
    );
    thread::sleep(Duration::from_millis(1_000));
    fleet.node(0);
    fleet.finish();
}

/// Work that a leaving node holds in its queue must still reach other services through the node.
#[test]
fn held_work_makes_nested_calls_while_its_node_leaves() {
    let mut fleet = CallFleet::start(1, 1, |plan| {
        let front = plan.endpoints[1].caller;
        plan.backend_arguments.extend([
            format!("--nest=/nested=http://{front}/look"),
            "--work=/nested/slow=1500ms".to_owned(),
        ]);
    });
    let address = fleet.caller(1);
    // Two calls run at once; the other two start after the node has closed to new work.
    let held: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || call_fleet::call(address, "GET", "/nested/slow", &[])))
        .collect();
    thread::sleep(Duration::from_millis(300));
    fleet.node(1).terminate().unwrap();
    for thread in held {
        let answer = thread.join().unwrap().unwrap();
        assert_eq!(
            answer.body_json()["nested"]["status"],
            200,
            "{}",
            answer.text()
        );
    }
    assert_eq!(fleet.node(1).wait(35_000).unwrap().code(), Some(0));
}
