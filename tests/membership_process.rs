//! Tests membership with real processes: instances that are killed, leave, restart or are missing
//! from a stale list.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::thread;
use std::time::{Duration, Instant};

use endivelanding::membership::{MemberEntry, MemberState};
use serde_json::json;
use testkit::{HttpProbe, RunningFleet};
use watched_fleet::{WAIT_TIMEOUT, WatchedFleet, wait_for};

/// Time after which a killed or leaving instance must get no new work; the requirements say "after
/// a few seconds".
const MAX_DETECTION_TIME: Duration = Duration::from_secs(5);

/// Returns the entry of the node `member` in the member table of the node `observer`.
fn read_member(fleet: &RunningFleet, observer: usize, member: usize) -> Option<MemberEntry> {
    try_read_member(fleet, observer, member).ok()
}

/// Returns the entry of the node `member` in the member table of the node `observer`, or why it
/// cannot be read.
fn try_read_member(
    fleet: &RunningFleet,
    observer: usize,
    member: usize,
) -> Result<MemberEntry, String> {
    let probe = HttpProbe::new(fleet.plan.endpoints[observer].admin);
    let response = probe
        .get("/v1/members")
        .map_err(|error| error.to_string())?;
    let members: Vec<MemberEntry> =
        serde_json::from_slice(&response.body).map_err(|error| error.to_string())?;
    let peer = fleet.plan.endpoints[member].peer;
    let entry = members.into_iter().find(|entry| entry.address.0 == peer);
    entry.ok_or_else(|| "no entry".to_owned())
}

/// Calls a service through each running node; returns the instances that answered and the failed
/// calls.
fn call_through_all_nodes(
    watched: &WatchedFleet,
    calls_per_node: usize,
) -> (Vec<String>, Vec<String>) {
    let (mut instances, mut failed) = (Vec::new(), Vec::new());
    for index in (0..calls_per_node).flat_map(|_| watched.running_nodes()) {
        let probe = HttpProbe::new(watched.fleet.plan.endpoints[index].caller);
        let response = probe.get("/stock/7").unwrap();
        match response.body_json()["instance"].as_str() {
            Some(instance) if response.status == 200 => instances.push(instance.to_owned()),
            _ => failed.push(format!("{} {}", response.status, response.text())),
        }
    }
    (instances, failed)
}

/// Guards against new work for an instance that was killed or is leaving but is still in the list.
#[test]
fn killed_and_leaving_instances_get_no_new_work() {
    let mut watched = WatchedFleet::start("members", 4, None, false);
    let endpoint_index = |name: &str| {
        let mut endpoints = watched.fleet.plan.endpoints.iter();
        endpoints.position(|entry| entry.name == name).unwrap()
    };
    let (killed, leaving) = (endpoint_index("rollcheck-1"), endpoint_index("rollcheck-2"));
    assert_eq!(call_through_all_nodes(&watched, 2).1, Vec::<String>::new());
    watched.kill(&[killed]);
    // The backend server reports draining; its node continues as an entry node.
    let control = HttpProbe::new(watched.fleet.plan.endpoints[leaving].control);
    let fault = json!({ "mode": "drain" }).to_string();
    let response = control.post("/fault", fault.as_bytes()).unwrap();
    assert_eq!(response.status, 200, "{}", response.text());
    let end = Instant::now() + MAX_DETECTION_TIME;
    while Instant::now() < end {
        call_through_all_nodes(&watched, 1);
        thread::sleep(Duration::from_millis(100));
    }
    let (instances, failed) = call_through_all_nodes(&watched, 10);
    assert_eq!(failed, Vec::<String>::new());
    let excluded = ["rollcheck-1", "rollcheck-2"];
    assert!(
        !instances
            .iter()
            .any(|name| excluded.contains(&name.as_str())),
        "{instances:?}"
    );
    watched.check_and_stop(1);
}

/// Guards against a live instance that is removed because it is missing from a stale list, and
/// against a restarted instance that is mistaken for its former process. Direct contact with a node
/// takes precedence over the list for 30 s, so the test observes for 38 s.
#[test]
fn live_instances_missing_from_the_list_stay_and_restarts_are_told_apart() {
    let mut watched = WatchedFleet::start("list", 3, None, true);
    let all = watched.running_nodes();
    let missing_node = 5;
    let mut list = watched.fleet.plan.instance_list();
    list["instances"]
        .as_array_mut()
        .unwrap()
        .remove(missing_node);
    watched.fleet.publish_instances(&list).unwrap();
    let end = Instant::now() + Duration::from_secs(38);
    let mut samples = 0;
    // Nodes that did not list the missing node as live, with what they listed in these samples.
    let mut not_live = std::collections::BTreeMap::<usize, Vec<String>>::new();
    while Instant::now() < end {
        for observer in &all {
            let entry = try_read_member(&watched.fleet, *observer, missing_node);
            let listed = match entry {
                Ok(entry) if entry.state == MemberState::Live => continue,
                Ok(entry) => format!("sample {samples}: {entry:?}"),
                Err(cause) => format!("sample {samples}: {cause}"),
            };
            not_live.entry(*observer).or_default().push(listed);
        }
        samples += 1;
        thread::sleep(Duration::from_millis(100));
    }
    println!("list: {samples} samples");
    assert!(
        not_live.is_empty(),
        "not live at (node, samples): {not_live:?}"
    );
    let previous_incarnation = read_member(&watched.fleet, 0, missing_node)
        .unwrap()
        .incarnation;
    watched.kill(&[missing_node]);
    watched.restart(&[missing_node]);
    wait_for("restart known to all nodes", WAIT_TIMEOUT, || {
        let knows_restart = |observer: &usize| {
            let entry = read_member(&watched.fleet, *observer, missing_node);
            entry.is_some_and(|entry| {
                entry.incarnation > previous_incarnation && entry.state == MemberState::Live
            })
        };
        all.iter().all(knows_restart).then_some(())
    });
    watched.check_and_stop(1);
}
