//! Tests with real processes that the time spent waiting for a slot is measured.

use std::thread;
use std::time::Duration;

use testkit::HttpProbe;

use crate::call_fleet::CallFleet;

/// Guards against head-of-line blocking that the metrics of a node do not show: one call waits
/// while both slots run work of 400 ms.
#[test]
fn queue_wait_behind_slow_work_is_in_the_metrics() {
    let fleet = CallFleet::start(1, 1, |_| {});
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| fleet.call(0, "GET", "/look/slow/1", &[]).unwrap());
        }
        thread::sleep(Duration::from_millis(100));
        let response = fleet.call(0, "GET", "/look/1", &[]).unwrap();
        assert_eq!(response.status, 200);
    });
    let probe = HttpProbe::new(fleet.fleet.plan.endpoints[0].admin);
    let text = probe.get("/metrics").unwrap().text();
    let value = |name: &str, bound: &str| -> f64 {
        let name = format!("endive_queue_wait_seconds_{name}{{");
        let line = text.lines().find(|line| {
            let labels = ["kind=\"lookup\"", "long=\"false\"", bound];
            line.starts_with(&name) && labels.iter().all(|label| line.contains(label))
        });
        let line = line.unwrap_or_else(|| panic!("no {name} in {text}"));
        line.rsplit_once(' ').unwrap().1.parse().unwrap()
    };
    // Two calls got a slot immediately; the third one waited for about 300 ms.
    assert_eq!(value("count", ""), 3.0);
    assert_eq!(value("bucket", "le=\"0.05\""), 2.0);
    assert!(value("sum", "") > 0.05, "{text}");
    fleet.check_and_stop();
}
