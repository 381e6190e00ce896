//! Depth limit, retry budget and deadlines across nested calls.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::call_fleet::{self, CallFleet};

/// Calls that call themselves must end at the depth limit, with one request for each level.
#[test]
fn nested_calls_end_at_the_depth_limit() {
    let mut entry = None;
    let fleet = CallFleet::start(1, 3, |plan| {
        let front = plan.endpoints[1].caller;
        entry = Some(front);
        plan.backend_arguments
            .push(format!("--nest=/nested=http://{front}/nested"));
        plan.common_settings.set("call", "depth_limit", "3");
    });
    let deadline = [("x-deadline-ms", "3000".to_owned())];
    let answer = call_fleet::call(entry.unwrap(), "GET", "/nested", &deadline).unwrap();
    let mut level = answer.body_json();
    for _ in 0..2 {
        level = level["nested"]["body"].clone();
    }
    assert_eq!(level["nested"]["status"], 508, "{}", answer.text());
    let requests: u64 = fleet.counts("requests").iter().sum();
    assert_eq!(requests, 3, "{}", answer.text());
    fleet.finish();
}

/// An outage of a nested service must not be multiplied by resends at each level.
#[test]
fn an_outage_is_not_multiplied_by_nested_calls() {
    let fleet = CallFleet::start(2, 2, |plan| {
        let desk = plan.endpoints[0].caller;
        plan.backend_arguments
            .push(format!("--nest=/nested=http://{desk}/look"));
    });
    let entry = fleet.caller(3);
    for place in [0, 1] {
        fleet.set_fault(place, &json!({"mode": "cut"}));
    }
    let calls: u64 = 120;
    let mut failed = 0;
    for _ in 0..calls {
        let answer = call_fleet::call(entry, "GET", "/nested", &[]).unwrap();
        failed += u64::from(answer.body_json()["nested"]["status"] != 200);
        thread::sleep(Duration::from_millis(5));
    }
    let requests = fleet.counts("requests");
    println!("{requests:?} requests for {calls} calls, {failed} nested calls failed");
    assert_eq!(failed, calls);
    // Nested calls are resent at no level; a hedge of the outer call makes another nested one.
    assert!(
        requests[0] + requests[1] <= requests[2] + requests[3],
        "{requests:?}"
    );
    assert!(
        requests[2] + requests[3] <= calls + calls / 10,
        "{requests:?}"
    );
    // The same outage met by calls of callers stays within the budget.
    for _ in 0..calls {
        call_fleet::call(entry, "GET", "/look", &[]);
        thread::sleep(Duration::from_millis(5));
    }
    let sent = fleet.counts("requests")[..2].iter().sum::<u64>() - requests[0] - requests[1];
    println!("{sent} requests for {calls} calls of callers");
    // A tenth of the calls, at least one a second, and what the calls before left over.
    assert!(
        sent <= calls + calls / 5 + 10,
        "{sent} requests for {calls} calls"
    );
    fleet.finish();
}

/// The backend server must get the remaining time, and work that cannot finish must be refused as
/// not run without waiting for its deadline.
#[test]
fn deadlines_reach_the_backend_server() {
    let fleet = CallFleet::start(1, 1, |_| {});
    let order = |path: &str, deadline: u64| {
        let start = Instant::now();
        let headers = [("x-deadline-ms", deadline.to_string())];
        let answer = fleet.call(1, "POST", path, &headers);
        (
            call_fleet::outcome(answer.as_ref()),
            start.elapsed().as_millis(),
        )
    };
    // Expired work counts at the backend server, which therefore knew the deadline.
    let (end, _) = order("/order/slow", 100);
    assert_ne!(end.0, "not-run");
    thread::sleep(Duration::from_millis(300));
    let stopped = fleet.counts("expired")[0] + fleet.counts("cancelled")[0];
    assert_eq!(stopped, 1, "the backend server works on after the deadline");
    // Once the time of the kind is known, a shorter deadline is refused.
    for _ in 0..20 {
        assert_eq!(order("/order", 2_000).0.0, "ran");
    }
    let before = fleet.counts("requests")[0];
    for _ in 0..10 {
        let ((outcome, code), _) = order("/order", 4);
        assert_eq!((outcome.as_str(), code.as_str()), ("not-run", "304"));
    }
    assert_eq!(fleet.counts("requests")[0], before);
    fleet.set_fault(0, &json!({"mode": "none"}));
    fleet.finish();
}
