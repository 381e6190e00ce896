//! Distribution of versions by real processes over a network that fails.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::thread;
use std::time::Duration;

use serde_json::json;
use testkit::PeerLinkScope;
use watched_fleet::{FORCE_TARGET, WAIT, WatchedFleet, wait_for};

/// Guards against a side that stops to serve or goes back while the regions are cut, and against
/// sides that stay apart after healing; also while a far node is paused and the platform is stale.
#[test]
fn cut_regions_serve_on_and_converge_after_healing() {
    let mut watched = WatchedFleet::start("regions", 3, Some(PeerLinkScope::Regions), true);
    let (near, far) = (watched.placed("central"), watched.placed("north"));
    for (round, mode) in (0..).zip(["cut", "silent", "silent_open", "cut"]) {
        let number = 2 + 3 * round;
        watched.change(&watched.running(), number);
        watched
            .fleet
            .set_proxy_fault(&json!({ "mode": mode, "groups": ["link"] }))
            .unwrap();
        if mode != "silent_open" {
            watched.change(&near, number + 1);
            watched.wait_stamp(&far, number, Duration::ZERO);
        }
        if round == 3 {
            watched
                .fleet
                .set_platform_fault(&json!({ "mode": "stale", "behind": 2 }))
                .unwrap();
            watched.fleet.nodes[far[0]]
                .as_mut()
                .unwrap()
                .pause()
                .unwrap();
            thread::sleep(Duration::from_secs(3));
            watched.fleet.nodes[far[0]]
                .as_mut()
                .unwrap()
                .resume()
                .unwrap();
        } else {
            watched.change(&near, number + 2);
        }
        watched
            .fleet
            .set_proxy_fault(&json!({ "mode": "none", "groups": ["link"] }))
            .unwrap();
        let last = if round == 3 { number + 1 } else { number + 2 };
        watched.wait_stamp(&watched.running(), last, WAIT);
    }
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "none" }))
        .unwrap();
    watched.finish(12);
}

/// Guards against a node that keeps links on which nothing arrives any more: all open connections
/// of one node go silent, then of one pair, while new ones work.
#[test]
fn silent_connections_are_replaced() {
    let watched = WatchedFleet::start("silent", 2, Some(PeerLinkScope::Nodes), true);
    let all = watched.running();
    let names: Vec<String> = watched
        .fleet
        .plan
        .endpoints
        .iter()
        .map(|entry| entry.name.clone())
        .collect();
    for (number, chosen) in (2..).zip([0, 3]) {
        for other in (0..names.len()).filter(|index| *index != chosen) {
            watched
                .fleet
                .set_fault_between("silent_open", &names[chosen], &names[other])
                .unwrap();
        }
        watched.publish(number, 0);
        watched.wait_stamp(&all, number, WAIT);
    }
    for number in 4..7 {
        let (first, second) = (number as usize, number as usize + 1);
        watched
            .fleet
            .set_fault_between("silent_open", &names[first], &names[second])
            .unwrap();
        watched.change(&all, number);
    }
    watched.finish(6);
}

/// Guards against versions that depend on the readers of one zone: a zone of the platform's region
/// dies, alone and together with a silent platform or a cut between two other zones.
#[test]
fn one_zone_is_lost() {
    let mut watched = WatchedFleet::start("zone", 3, Some(PeerLinkScope::Zones), true);
    let all = watched.running();
    let (lost, other) = ("bangna", "ladkrabang");
    let zone = watched.placed(lost);
    let left: Vec<usize> = all
        .iter()
        .copied()
        .filter(|index| !zone.contains(index))
        .collect();
    watched.kill(&zone);
    watched.change(&left, 2);
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "silent", "for_ms": 4_000 }))
        .unwrap();
    watched.restart(&zone);
    watched.wait_stamp(&all, 2, WAIT);
    watched.publish(3, 0);
    watched.wait_stamp(&all, 3, WAIT);
    for mode in ["cut", "silent"] {
        for far in ["hangdong", "sansai", lost] {
            watched.fleet.set_fault_between(mode, other, far).unwrap();
        }
        // The zone that is cut off reads by itself, the others read in bangna.
        let number = if mode == "cut" { 4 } else { 5 };
        watched.change(&all, number);
        watched
            .fleet
            .set_proxy_fault(&json!({ "mode": "none" }))
            .unwrap();
    }
    watched.kill(&watched.placed(other));
    watched.publish(6, 0);
    watched.wait_stamp(&watched.running(), 6, FORCE_TARGET);
    watched.restart(&watched.placed(other));
    watched.finish(6);
}

/// Guards against a restarted node that serves what a stale platform answers at once although its
/// peers, whose answers are slower, hold a higher version.
#[test]
fn restarted_nodes_wait_for_slow_peers() {
    let mut watched = WatchedFleet::start("slow", 2, Some(PeerLinkScope::Nodes), true);
    let all = watched.running();
    watched.change(&all, 2);
    let stale = json!({ "mode": "stale", "behind": 1 });
    watched.fleet.set_platform_fault(&stale).unwrap();
    let mut request = watched.fleet.plan.proxy_plan.as_ref().unwrap().request();
    for mapping in request["mappings"].as_array_mut().unwrap() {
        if mapping["name"].as_str().unwrap().starts_with("peer ") {
            mapping["latency_ms"] = 100.into();
        }
    }
    let control = watched.fleet.proxy_control().unwrap();
    let answer = control.post("/mapping", request.to_string().as_bytes());
    assert_eq!(answer.unwrap().status, 200);
    // The restarted nodes watch, so they read the platform before any peer can answer.
    let common = &mut watched.fleet.plan.common_settings;
    common.set("platform", "every_node_watches", "true");
    for index in [0, 3, 6] {
        watched.kill(&[index]);
        watched.restart(&[index]);
        let read = wait_for("stale version read", WAIT, || {
            let held = watched.status(index)?;
            (held.stamp.number > 0).then_some(held)
        });
        assert!(read.stamp.number == 1 && !read.ready, "{read:?}");
        watched.wait_stamp(&all, 2, WAIT);
    }
    watched.finish(2);
}
