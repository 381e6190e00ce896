//! Distribution of versions by real processes while versions, platform and processes fail.

#[allow(dead_code, reason = "each test file uses a part of it")]
#[path = "support/watched_fleet.rs"]
mod watched_fleet;

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use watched_fleet::{FORCE_TARGET, WAIT, WatchedFleet, manifest, wait_for};

/// Guards against a fleet split by two contents under one number, and against a lower number that
/// takes the place of a higher one.
#[test]
fn contents_of_one_number_converge_and_lower_numbers_change_nothing() {
    let watched = WatchedFleet::start("conflict", 3, None, true);
    let nodes = watched.running();
    for number in 2..8 {
        // The contents of even numbers cross; those of odd ones follow each other, and the losing
        // content comes first or last.
        watched.publish(number, number / 2 % 2);
        let first = (number % 2 == 1).then(|| watched.wait_stamp(&nodes, number, FORCE_TARGET));
        watched.publish(number, (number / 2 + 1) % 2);
        let conflict = |index: &usize| {
            let conflicts = watched.status(*index)?.conflicts;
            conflicts.into_iter().find(|entry| entry.number == number)
        };
        if let Some(first) = first {
            let seen = wait_for("conflict seen", WAIT, || nodes.iter().find_map(conflict));
            assert_eq!(seen.winner, seen.winner.max(seen.loser));
            let stamp = watched.wait_stamp(&nodes, number, FORCE_TARGET);
            assert_eq!(stamp.digest, seen.winner);
            assert!(first.digest == seen.winner || first.digest == seen.loser);
        }
        watched.wait_stamp(&nodes, number, FORCE_TARGET);
    }
    watched.publish(3, 9);
    let stale = |index: &usize| {
        watched
            .status(*index)
            .is_some_and(|held| held.stale_reads > 0)
    };
    wait_for("lower number read", WAIT, || {
        nodes.iter().any(stale).then_some(())
    });
    thread::sleep(Duration::from_secs(1));
    watched.finish(7);
}

/// Guards against a bad manifest that is applied, even partially, or judged differently by nodes.
#[test]
fn bad_manifests_are_refused_alike_and_leave_the_version_in_force() {
    let watched = WatchedFleet::start("refused", 3, None, true);
    let nodes = watched.running();
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
    let mut stamp = watched.wait_stamp(&nodes, 1, WAIT);
    for (number, (pointer, wrong, code)) in (2..).zip(cases) {
        let mut bad = manifest(number * 2, number);
        *bad.pointer_mut(pointer).unwrap() = wrong.clone();
        watched.fleet.publish(bad.to_string().as_bytes()).unwrap();
        let what = format!("{pointer} refused with {code} everywhere");
        wait_for(&what, WAIT, || {
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
        // A good version between shows that the refusal blocks nothing.
        watched.publish(number * 2 + 1, 0);
        stamp = watched.wait_stamp(&nodes, number * 2 + 1, FORCE_TARGET);
    }
    watched.finish(stamp.number);
}

/// Guards against restarted nodes that serve an older version because the platform is down, stale
/// or silent, and against a fleet that cannot restart nodes without the platform.
#[test]
fn restarts_during_platform_faults_serve_the_highest_version_of_peers() {
    let mut watched = WatchedFleet::start("platform", 3, None, true);
    let all = watched.running();
    for (round, mode) in [(0, "stale"), (1, "down"), (2, "silent")] {
        let number = 2 + 2 * round;
        watched.change(&all, number);
        watched
            .fleet
            .set_platform_fault(&json!({ "mode": mode, "behind": 1 }))
            .unwrap();
        let chosen: Vec<usize> = all
            .iter()
            .copied()
            .skip(round as usize)
            .step_by(4)
            .collect();
        watched.kill(&chosen);
        watched.restart(&chosen);
        watched.wait_stamp(&all, number, WAIT);
        watched
            .fleet
            .set_platform_fault(&json!({ "mode": "none" }))
            .unwrap();
        watched.publish(number + 1, 0);
        watched.wait_stamp(&all, number + 1, WAIT);
    }
    watched.finish(7);
}

/// Guards against a mass reconnection that loses or delays versions, also while the platform is
/// down: half of the nodes die at once and come back at once.
#[test]
fn half_of_the_nodes_restart_at_once() {
    let mut watched = WatchedFleet::start("half", 4, None, true);
    let all = watched.running();
    let (lost, left): (Vec<usize>, Vec<usize>) = all.iter().partition(|index| *index % 2 == 0);
    watched.kill(&lost);
    watched.change(&left, 2);
    watched.restart(&lost);
    watched.wait_stamp(&all, 2, WAIT);
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "down" }))
        .unwrap();
    watched.kill(&left);
    watched.restart(&left);
    watched.wait_stamp(&all, 2, WAIT);
    watched
        .fleet
        .set_platform_fault(&json!({ "mode": "none" }))
        .unwrap();
    watched.publish(3, 0);
    watched.finish(3);
}

/// Guards against a resumed node that answers from the version it held before a pause above 2 s,
/// also when every other node is paused as well.
#[test]
fn resumed_nodes_do_not_answer_from_their_old_version() {
    let mut watched = WatchedFleet::start("pause", 3, None, false);
    let all = watched.running();
    let paused = watched.placed("bangna")[0];
    let rest: Vec<usize> = all
        .iter()
        .copied()
        .filter(|index| *index != paused)
        .collect();
    let entry = watched.fleet.plan.endpoints[paused].caller;
    for round in 0..3_u64 {
        watched.fleet.nodes[paused]
            .as_mut()
            .unwrap()
            .pause()
            .unwrap();
        // The route of /rolls moves between two services with each version.
        let number = 2 + round;
        let service = ["ratecard", "rollcheck"][round as usize % 2];
        let mut next = manifest(number, 0);
        let routes = next["routes"].as_array_mut().unwrap();
        let route = routes.iter_mut().find(|route| route["prefix"] == "/rolls");
        route.unwrap()["service"] = service.into();
        watched.fleet.publish(next.to_string().as_bytes()).unwrap();
        // These calls wait in the socket of the paused node until it resumes.
        let calls: Vec<_> = (0..8)
            .map(|_| {
                thread::spawn(move || {
                    let headers = [("x-deadline-ms", "20000".to_owned())];
                    testkit::HttpProbe::with_timeout(entry, 20_000).call(
                        "GET",
                        "/rolls/7",
                        &headers,
                        &[],
                    )
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(4));
        watched.wait_stamp(&rest, number, FORCE_TARGET);
        watched.fleet.nodes[paused]
            .as_mut()
            .unwrap()
            .resume()
            .unwrap();
        for call in calls {
            let answer = call.join().unwrap().unwrap();
            let value = answer.body_json();
            let instance = value["instance"].as_str().unwrap_or_default();
            let refused = answer.header("x-outcome") == Some("not-run");
            assert!(
                refused || instance.starts_with(service),
                "status {} from {instance:?}, version {number} routes to {service}",
                answer.status
            );
        }
        watched.wait_stamp(&all, number, WAIT);
    }
    watched.finish(4);
}
