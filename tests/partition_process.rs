//! Tests the distribution of versions with real processes during network faults.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::thread;
use std::time::Duration;

use serde_json::json;
use testkit::PeerLinkScope;
use watched_fleet::{MAX_PROPAGATION_TIME, WAIT_TIMEOUT, WatchedFleet, wait_for};

/// Guards against a region that stops serving or goes back to an earlier version during a
/// partition, and against regions that do not converge after it; also while a node of the far
/// region is paused and the platform is stale.
#[test]
fn partitioned_regions_keep_serving_and_converge_afterwards() {
    let mut watched = WatchedFleet::start("regions", 3, Some(PeerLinkScope::Regions), true);
    let (near, far) = (watched.nodes_in("central"), watched.nodes_in("north"));
    for (round, mode) in (0..).zip(["cut", "silent", "silent_open", "cut"]) {
        let number = 2 + 3 * round;
        watched.publish_and_wait(&watched.running_nodes(), number);
        watched
            .fleet
            .set_proxy_fault(&json!({ "mode": mode, "groups": ["link"] }))
            .unwrap();
        if mode != "silent_open" {
            watched.publish_and_wait(&near, number + 1);
            watched.wait_in_force(&far, number, Duration::ZERO);
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
            watched.publish_and_wait(&near, number + 2);
        }
        watched
            .fleet
            .set_proxy_fault(&json!({ "mode": "none", "groups": ["link"] }))
            .unwrap();
        let last_number = if round == 3 { number + 1 } else { number + 2 };
        watched.wait_in_force(&watched.running_nodes(), last_number, WAIT_TIMEOUT);
    }
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "none" }))
        .unwrap();
    watched.check_and_stop(12);
}

/// Guards against a node that keeps links on which it no longer receives anything: all open
/// connections of one node go silent, then those of one pair of nodes, while new connections work.
#[test]
fn silent_connections_are_replaced() {
    let watched = WatchedFleet::start("silent", 2, Some(PeerLinkScope::Nodes), true);
    let all = watched.running_nodes();
    let names: Vec<String> = watched
        .fleet
        .plan
        .endpoints
        .iter()
        .map(|entry| entry.name.clone())
        .collect();
    for (number, silent_node) in (2..).zip([0, 3]) {
        for other in (0..names.len()).filter(|index| *index != silent_node) {
            watched
                .fleet
                .set_fault_between("silent_open", &names[silent_node], &names[other])
                .unwrap();
        }
        watched.publish(number, 0);
        watched.wait_in_force(&all, number, WAIT_TIMEOUT);
    }
    for number in 4..7 {
        let (first, second) = (number as usize, number as usize + 1);
        watched
            .fleet
            .set_fault_between("silent_open", &names[first], &names[second])
            .unwrap();
        watched.publish_and_wait(&all, number);
    }
    watched.check_and_stop(6);
}

/// Guards against distribution that depends on the readers of one zone: all nodes of a zone in the
/// platform's region are killed, alone and together with a silent platform or a partition between
/// zones.
#[test]
fn versions_are_distributed_after_the_loss_of_one_zone() {
    let mut watched = WatchedFleet::start("zone", 3, Some(PeerLinkScope::Zones), true);
    let all = watched.running_nodes();
    let (lost_zone, other_zone) = ("bangna", "ladkrabang");
    let zone_nodes = watched.nodes_in(lost_zone);
    let remaining_nodes: Vec<usize> = all
        .iter()
        .copied()
        .filter(|index| !zone_nodes.contains(index))
        .collect();
    watched.kill(&zone_nodes);
    watched.publish_and_wait(&remaining_nodes, 2);
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "silent", "for_ms": 4_000 }))
        .unwrap();
    watched.restart(&zone_nodes);
    watched.wait_in_force(&all, 2, WAIT_TIMEOUT);
    watched.publish(3, 0);
    watched.wait_in_force(&all, 3, WAIT_TIMEOUT);
    for mode in ["cut", "silent"] {
        for far in ["hangdong", "sansai", lost_zone] {
            watched
                .fleet
                .set_fault_between(mode, other_zone, far)
                .unwrap();
        }
        // The isolated zone reads from the platform itself; the others get versions from the
        // readers in bangna.
        let number = if mode == "cut" { 4 } else { 5 };
        watched.publish_and_wait(&all, number);
        watched
            .fleet
            .set_proxy_fault(&json!({ "mode": "none" }))
            .unwrap();
    }
    watched.kill(&watched.nodes_in(other_zone));
    watched.publish(6, 0);
    watched.wait_in_force(&watched.running_nodes(), 6, MAX_PROPAGATION_TIME);
    watched.restart(&watched.nodes_in(other_zone));
    watched.check_and_stop(6);
}

/// Guards against a restarted node that serves the older version of a stale platform because the
/// platform responds sooner than the peers, which hold a higher version.
#[test]
fn restarted_nodes_wait_for_slow_peers() {
    let mut watched = WatchedFleet::start("slow", 2, Some(PeerLinkScope::Nodes), true);
    let all = watched.running_nodes();
    watched.publish_and_wait(&all, 2);
    let stale_fault = json!({ "mode": "stale", "behind": 1 });
    watched.fleet.set_platform_fault(&stale_fault).unwrap();
    let mut request = watched.fleet.plan.proxy_plan.as_ref().unwrap().request();
    for mapping in request["mappings"].as_array_mut().unwrap() {
        if mapping["name"].as_str().unwrap().starts_with("peer ") {
            mapping["latency_ms"] = 100.into();
        }
    }
    let control = watched.fleet.proxy_control().unwrap();
    let response = control.post("/mapping", request.to_string().as_bytes());
    assert_eq!(response.unwrap().status, 200);
    // The restarted nodes watch the platform, so they read it before any peer can respond.
    let common = &mut watched.fleet.plan.common_settings;
    common.set("platform", "every_node_watches", "true");
    for index in [0, 3, 6] {
        watched.kill(&[index]);
        watched.restart(&[index]);
        let stale_status = wait_for("stale version read", WAIT_TIMEOUT, || {
            let status = watched.status(index)?;
            (status.stamp.number > 0).then_some(status)
        });
        assert!(
            stale_status.stamp.number == 1 && !stale_status.ready,
            "{stale_status:?}"
        );
        watched.wait_in_force(&all, 2, WAIT_TIMEOUT);
    }
    watched.check_and_stop(2);
}
