//! Tests the depth limit, the retry budget and deadlines across nested calls.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::call_fleet::{self, CallFleet};

/// Guards against recursive calls that do not end at the depth limit with one request per level.
#[test]
fn nested_calls_end_at_the_depth_limit() {
    let mut entry_address = None;
    let fleet = CallFleet::start(1, 3, |plan| {
        let front_address = plan.endpoints[1].caller;
        entry_address = Some(front_address);
        plan.backend_arguments
            .push(format!("--nest=/nested=http://{front_address}/nested"));
        plan.common_settings.set("call", "depth_limit", "3");
    });
    let deadline = [("x-deadline-ms", "3000".to_owned())];
    let response = call_fleet::call(entry_address.unwrap(), "GET", "/nested", &deadline).unwrap();
    let mut innermost = response.body_json();
    for _ in 0..2 {
        innermost = innermost["nested"]["body"].clone();
    }
    assert_eq!(innermost["nested"]["status"], 508, "{}", response.text());
    let requests: u64 = fleet.backend_counters("requests").iter().sum();
    assert_eq!(requests, 3, "{}", response.text());
    fleet.check_and_stop();
}

/// Guards against resends at each level of nested calls, which would multiply the load on a service
/// that has failed.
#[test]
fn nested_calls_do_not_multiply_the_load_during_an_outage() {
    let fleet = CallFleet::start(2, 2, |plan| {
        let desk_address = plan.endpoints[0].caller;
        plan.backend_arguments
            .push(format!("--nest=/nested=http://{desk_address}/look"));
    });
    let entry_address = fleet.caller_address(3);
    for endpoint_index in [0, 1] {
        fleet.set_backend_fault(endpoint_index, &json!({"mode": "cut"}));
    }
    let calls: u64 = 120;
    let mut failed_calls = 0;
    for _ in 0..calls {
        let response = call_fleet::call(entry_address, "GET", "/nested", &[]).unwrap();
        failed_calls += u64::from(response.body_json()["nested"]["status"] != 200);
        thread::sleep(Duration::from_millis(5));
    }
    let requests = fleet.backend_counters("requests");
    println!("{requests:?} requests for {calls} calls; {failed_calls} nested calls failed");
    assert_eq!(failed_calls, calls);
    // Nested calls are not resent at any level, but a hedge of the outer call adds a nested call.
    assert!(
        requests[0] + requests[1] <= requests[2] + requests[3],
        "{requests:?}"
    );
    assert!(
        requests[2] + requests[3] <= calls + calls / 10,
        "{requests:?}"
    );
    // For direct calls during the same outage, resends stay within the retry budget.
    for _ in 0..calls {
        call_fleet::call(entry_address, "GET", "/look", &[]);
        thread::sleep(Duration::from_millis(5));
    }
    let direct_requests =
        fleet.backend_counters("requests")[..2].iter().sum::<u64>() - requests[0] - requests[1];
    println!("{direct_requests} requests for {calls} direct calls");
    // The budget allows resends for a tenth of the calls, at least one per second, and what the
    // preceding calls left unused.
    assert!(
        direct_requests <= calls + calls / 5 + 10,
        "{direct_requests} requests for {calls} calls"
    );
    fleet.check_and_stop();
}

/// Guards against a backend server that does not receive the remaining time, and against work that
/// waits for a deadline which it cannot meet instead of being refused as not run.
#[test]
fn deadlines_reach_the_backend_server() {
    let fleet = CallFleet::start(1, 1, |_| {});
    let order = |path: &str, deadline: u64| {
        let start = Instant::now();
        let headers = [("x-deadline-ms", deadline.to_string())];
        let response = fleet.call(1, "POST", path, &headers);
        (
            call_fleet::outcome_and_code(response.as_ref()),
            start.elapsed().as_millis(),
        )
    };
    // Only a backend server that has received the deadline counts work as expired.
    let (result, _) = order("/order/slow", 100);
    assert_ne!(result.0, "not-run");
    thread::sleep(Duration::from_millis(300));
    let expired_or_cancelled =
        fleet.backend_counters("expired")[0] + fleet.backend_counters("cancelled")[0];
    assert_eq!(
        expired_or_cancelled, 1,
        "the backend server continued to work after the deadline"
    );
    // Once the running time of the kind is known, calls with a shorter deadline are refused.
    for _ in 0..20 {
        assert_eq!(order("/order", 2_000).0.0, "ran");
    }
    let requests_before = fleet.backend_counters("requests")[0];
    for _ in 0..10 {
        let ((outcome, code), _) = order("/order", 4);
        assert_eq!((outcome.as_str(), code.as_str()), ("not-run", "304"));
    }
    assert_eq!(fleet.backend_counters("requests")[0], requests_before);
    fleet.set_backend_fault(0, &json!({"mode": "none"}));
    fleet.check_and_stop();
}
