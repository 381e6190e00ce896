//! Membership by real processes: instances that die, leave, restart or miss from a stale list.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::thread;
use std::time::{Duration, Instant};

use endivelanding::membership::{MemberEntry, MemberState};
use serde_json::json;
use testkit::{HttpProbe, RunningFleet};
use watched_fleet::{WAIT, WatchedFleet, wait_for};

/// Stated target of the requirements: "after a few seconds".
const FEW_SECONDS: Duration = Duration::from_secs(5);

/// Returns what a node knows of another one.
fn known(fleet: &RunningFleet, at: usize, of: usize) -> Option<MemberEntry> {
    let probe = HttpProbe::new(fleet.plan.endpoints[at].admin);
    let answer = probe.get("/v1/members").ok()?;
    let members: Vec<MemberEntry> = serde_json::from_slice(&answer.body).ok()?;
    let peer = fleet.plan.endpoints[of].peer;
    members.into_iter().find(|entry| entry.address.0 == peer)
}

/// Calls the service at every running node and returns the instances and the refused calls.
fn call_all(watched: &WatchedFleet, rounds: usize) -> (Vec<String>, Vec<String>) {
    let (mut instances, mut refused) = (Vec::new(), Vec::new());
    for index in (0..rounds).flat_map(|_| watched.running()) {
        let probe = HttpProbe::new(watched.fleet.plan.endpoints[index].caller);
        let answer = probe.get("/stock/7").unwrap();
        match answer.body_json()["instance"].as_str() {
            Some(instance) if answer.status == 200 => instances.push(instance.to_owned()),
            _ => refused.push(format!("{} {}", answer.status, answer.text())),
        }
    }
    (instances, refused)
}

/// Guards against new work for an instance that was killed or leaves while the list still has it.
#[test]
fn killed_and_leaving_instances_get_no_new_work() {
    let mut watched = WatchedFleet::start("members", 4, None, false);
    let find = |name: &str| {
        let mut endpoints = watched.fleet.plan.endpoints.iter();
        endpoints.position(|entry| entry.name == name).unwrap()
    };
    let (killed, leaving) = (find("rollcheck-1"), find("rollcheck-2"));
    assert_eq!(call_all(&watched, 2).1, Vec::<String>::new());
    watched.kill(&[killed]);
    // The backend server reports that it drains; the node goes on as an entry.
    let control = HttpProbe::new(watched.fleet.plan.endpoints[leaving].control);
    let fault = json!({ "mode": "drain" }).to_string();
    let answer = control.post("/fault", fault.as_bytes()).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    let end = Instant::now() + FEW_SECONDS;
    while Instant::now() < end {
        call_all(&watched, 1);
        thread::sleep(Duration::from_millis(100));
    }
    let (instances, refused) = call_all(&watched, 10);
    assert_eq!(refused, Vec::<String>::new());
    let wrong = ["rollcheck-1", "rollcheck-2"];
    assert!(
        !instances.iter().any(|name| wrong.contains(&name.as_str())),
        "{instances:?}"
    );
    watched.finish(1);
}

/// Guards against a live instance that is thrown out because a stale list lacks it, and against a
/// restarted one that is taken for its former process. Direct knowledge of a node holds for 30 s.
#[test]
fn live_instances_missing_from_the_list_stay_and_restarts_are_told_apart() {
    let mut watched = WatchedFleet::start("list", 3, None, true);
    let all = watched.running();
    let missing = 5;
    let mut list = watched.fleet.plan.instance_list();
    list["instances"].as_array_mut().unwrap().remove(missing);
    watched.fleet.publish_instances(&list).unwrap();
    let end = Instant::now() + Duration::from_secs(38);
    let mut looks = 0;
    // Nodes that do not hear the missing one, with the number of looks at which they lacked it.
    let mut absent = std::collections::BTreeMap::<usize, usize>::new();
    while Instant::now() < end {
        for at in &all {
            let entry = known(&watched.fleet, *at, missing);
            if entry.is_none_or(|entry| entry.state != MemberState::Live) {
                *absent.entry(*at).or_default() += 1;
            }
        }
        looks += 1;
        thread::sleep(Duration::from_millis(100));
    }
    println!("list: {looks} looks");
    assert!(absent.is_empty(), "missing at (node, looks): {absent:?}");
    let before = known(&watched.fleet, 0, missing).unwrap().incarnation;
    watched.kill(&[missing]);
    watched.restart(&[missing]);
    wait_for("restart known everywhere", WAIT, || {
        let newer = |at: &usize| {
            let entry = known(&watched.fleet, *at, missing);
            entry
                .is_some_and(|entry| entry.incarnation > before && entry.state == MemberState::Live)
        };
        all.iter().all(newer).then_some(())
    });
    watched.finish(1);
}
