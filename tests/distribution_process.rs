//! Tests the distribution of versions with real processes during conflicting and invalid versions,
//! platform faults and process failures.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use watched_fleet::{MAX_PROPAGATION_TIME, WAIT_TIMEOUT, WatchedFleet, manifest, wait_for};

/// Guards against a fleet that does not converge after two contents were published under one
/// number, and against a lower number that replaces a higher one.
#[test]
fn conflicting_contents_converge_and_lower_numbers_are_ignored() {
    let watched = WatchedFleet::start("conflict", 3, None, true);
    let nodes = watched.running_nodes();
    for number in 2..8 {
        // The two contents of an even number are published without a wait in between, so their
        // distribution overlaps. For odd numbers the first content is in force before the second is
        // published; the losing content comes first or last.
        watched.publish(number, number / 2 % 2);
        let first =
            (number % 2 == 1).then(|| watched.wait_in_force(&nodes, number, MAX_PROPAGATION_TIME));
        watched.publish(number, (number / 2 + 1) % 2);
        let conflict = |index: &usize| {
            let conflicts = watched.status(*index)?.conflicts;
            conflicts.into_iter().find(|entry| entry.number == number)
        };
        if let Some(first) = first {
            let reported_conflict = wait_for("conflict reported", WAIT_TIMEOUT, || {
                nodes.iter().find_map(conflict)
            });
            assert_eq!(
                reported_conflict.winner,
                reported_conflict.winner.max(reported_conflict.loser)
            );
            let stamp = watched.wait_in_force(&nodes, number, MAX_PROPAGATION_TIME);
            assert_eq!(stamp.digest, reported_conflict.winner);
            assert!(
                first.digest == reported_conflict.winner || first.digest == reported_conflict.loser
            );
        }
        watched.wait_in_force(&nodes, number, MAX_PROPAGATION_TIME);
    }
    watched.publish(3, 9);
    let has_stale_read = |index: &usize| {
        watched
            .status(*index)
            .is_some_and(|status| status.stale_reads > 0)
    };
    wait_for("lower number read by a node", WAIT_TIMEOUT, || {
        nodes.iter().any(has_stale_read).then_some(())
    });
    thread::sleep(Duration::from_secs(1));
    watched.check_and_stop(7);
}

/// Guards against an invalid manifest that is applied, even partially, or that nodes refuse with
/// different codes.
#[test]
fn invalid_manifests_are_refused_by_all_nodes_and_leave_the_version_in_force() {
    let watched = WatchedFleet::start("refused", 3, None, true);
    let nodes = watched.running_nodes();
    let cases: &[(&str, Value, u16)] = &[
        ("/routes/0/service", json!("absent"), 204),
        ("/routes/0/kind", json!("absent"), 212),
        ("/services/0/slots", json!(null), 205),
        ("/services/0/protocol", json!("h9"), 205),
        ("/services/0/inherits", json!("pressroom"), 206),
        ("/services/0/name", json!("ratecard"), 207),
        ("/services/0/slots", json!(4_000_000_000_u64), 208),
        ("/services/0/kinds/0", json!({"colour": "red"}), 203),
        ("/number", json!(0), 208),
        ("/number", json!("nine"), 201),
        ("", json!("{"), 201),
    ];
    let mut stamp = watched.wait_in_force(&nodes, 1, WAIT_TIMEOUT);
    for (number, (pointer, value, code)) in (2..).zip(cases) {
        let mut invalid = manifest(number * 2, number);
        *invalid.pointer_mut(pointer).unwrap() = value.clone();
        watched
            .fleet
            .publish(invalid.to_string().as_bytes())
            .unwrap();
        let what = format!("{pointer} refused with {code} by all nodes");
        wait_for(&what, WAIT_TIMEOUT, || {
            let refused = |index: &usize| {
                let status = watched.status(*index)?;
                assert_eq!(status.stamp, stamp, "{pointer}");
                let last = status
                    .refused
                    .iter()
                    .rev()
                    .find(|entry| entry.code.number() == *code);
                last.map(|_| ())
            };
            nodes.iter().map(refused).collect::<Option<Vec<()>>>()
        });
        // The valid version shows that the refusal does not block later versions.
        watched.publish(number * 2 + 1, 0);
        stamp = watched.wait_in_force(&nodes, number * 2 + 1, MAX_PROPAGATION_TIME);
    }
    watched.check_and_stop(stamp.number);
}

/// Guards against restarted nodes that serve an older version because the platform is down, stale
/// or silent, and against nodes that cannot restart without the platform.
#[test]
fn restarts_during_platform_faults_serve_the_highest_version_of_peers() {
    let mut watched = WatchedFleet::start("platform", 3, None, true);
    let all = watched.running_nodes();
    for (round, mode) in [(0, "stale"), (1, "down"), (2, "silent")] {
        let number = 2 + 2 * round;
        watched.publish_and_wait(&all, number);
        watched
            .fleet
            .set_platform_fault(&json!({ "mode": mode, "behind": 1 }))
            .unwrap();
        let restarted: Vec<usize> = all
            .iter()
            .copied()
            .skip(round as usize)
            .step_by(4)
            .collect();
        watched.kill(&restarted);
        watched.restart(&restarted);
        watched.wait_in_force(&all, number, WAIT_TIMEOUT);
        watched
            .fleet
            .set_platform_fault(&json!({ "mode": "none" }))
            .unwrap();
        watched.publish(number + 1, 0);
        watched.wait_in_force(&all, number + 1, WAIT_TIMEOUT);
    }
    watched.check_and_stop(7);
}

/// Guards against versions that are lost or delayed when half of the nodes are killed and restarted
/// together, also while the platform is down.
#[test]
fn half_of_the_nodes_restart_at_once() {
    let mut watched = WatchedFleet::start("half", 4, None, true);
    let all = watched.running_nodes();
    let (first_half, second_half): (Vec<usize>, Vec<usize>) =
        all.iter().partition(|index| *index % 2 == 0);
    watched.kill(&first_half);
    watched.publish_and_wait(&second_half, 2);
    watched.restart(&first_half);
    watched.wait_in_force(&all, 2, WAIT_TIMEOUT);
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "down" }))
        .unwrap();
    watched.kill(&second_half);
    watched.restart(&second_half);
    watched.wait_in_force(&all, 2, WAIT_TIMEOUT);
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "none" }))
        .unwrap();
    watched.publish(3, 0);
    watched.check_and_stop(3);
}

/// Guards against a resumed node that routes calls by the version it held before a pause of more
/// than 2 s.
#[test]
fn resumed_nodes_do_not_serve_calls_with_their_old_version() {
    let mut watched = WatchedFleet::start("pause", 3, None, false);
    let all = watched.running_nodes();
    let paused_node = watched.nodes_in("bangna")[0];
    let other_nodes: Vec<usize> = all
        .iter()
        .copied()
        .filter(|index| *index != paused_node)
        .collect();
    let caller_address = watched.fleet.plan.endpoints[paused_node].caller;
    for round in 0..3_u64 {
        watched.fleet.nodes[paused_node]
            .as_mut()
            .unwrap()
            .pause()
            .unwrap();
        // Each version moves the route of /rolls to the other of two services.
        let number = 2 + round;
        let service = ["ratecard", "rollcheck"][round as usize % 2];
        let mut next_manifest = manifest(number, 0);
        let routes = next_manifest["routes"].as_array_mut().unwrap();
        let route = routes.iter_mut().find(|route| route["prefix"] == "/rolls");
        route.unwrap()["service"] = service.into();
        watched
            .fleet
            .publish(next_manifest.to_string().as_bytes())
            .unwrap();
        // The calls wait in the socket of the paused node until it resumes.
        let calls: Vec<_> = (0..8)
            .map(|_| {
                thread::spawn(move || {
                    let headers = [("x-deadline-ms", "20000".to_owned())];
                    testkit::HttpProbe::with_timeout(caller_address, 20_000).call(
                        "GET",
                        "/rolls/7",
                        &headers,
                        &[],
                    )
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(4));
        watched.wait_in_force(&other_nodes, number, MAX_PROPAGATION_TIME);
        watched.fleet.nodes[paused_node]
            .as_mut()
            .unwrap()
            .resume()
            .unwrap();
        for call in calls {
            let response = call.join().unwrap().unwrap();
            let value = response.body_json();
            let instance = value["instance"].as_str().unwrap_or_default();
            let refused = response.header("x-outcome") == Some("not-run");
            assert!(
                refused || instance.starts_with(service),
                "status {} from {instance:?}, version {number} routes to {service}",
                response.status
            );
        }
        watched.wait_in_force(&all, number, WAIT_TIMEOUT);
    }
    watched.check_and_stop(4);
}
