//! Tests of where a node looks for a fresher view of the mesh, and of how old a view is taken to be.

use std::net::{IpAddr, Ipv4Addr};

use endivelanding::clock::ClockTime;
use endivelanding::sidecar::{
    FreshPeers, MeshBounds, PlannedSource, ReaderState, RefreshPlan, RefreshState, ViewSource,
    earliest_read_time, plan_refresh,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Refresh interval for a propagation bound of 3 s.
const INTERVAL: ClockTime = ClockTime(750);

fn node(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number))
}

fn state(parents: &[IpAddr]) -> RefreshState<'_> {
    RefreshState {
        age: Some(ClockTime(100)),
        config_age: ClockTime(100),
        interval: INTERVAL,
        reads_registry: false,
        is_standby: false,
        watches_outage: false,
        lacks_config: false,
        parents,
        introduced: &[],
        limit: ClockTime(2_500),
        fleet_size: 200,
        registry_rate: 16_000.0,
        region_size: 100,
        spread: 0.0,
        chance: 0.5,
    }
}

fn sources(plan: &RefreshPlan) -> Vec<(ViewSource, u64)> {
    plan.iter()
        .filter(|planned| planned.source != ViewSource::FreshestNode)
        .map(|planned: &PlannedSource| (planned.source, planned.delay.0))
        .collect()
}

#[test]
fn sources_are_planned_by_role_and_age() {
    let parents = [node(1), node(2)];
    let [first, second] = parents.map(ViewSource::Node);
    let registry = ViewSource::Registry;
    let random = ViewSource::RandomNode;
    let far = ViewSource::RandomFarNode;
    let usual = state(&parents);
    let table = [
        (
            "follower",
            usual,
            vec![
                (first, 0),
                (second, 837),
                (random, 1_212),
                (random, 1_399),
                (registry, 1_474),
                (random, 1_586),
                (random, 1_773),
            ],
        ),
        (
            "standby",
            RefreshState {
                is_standby: true,
                ..state(&parents[..1])
            },
            vec![
                (first, 0),
                (first, 837),
                (registry, 837),
                (random, 1_212),
                (random, 1_399),
                (far, 1_474),
                (random, 1_586),
                (far, 1_661),
                (random, 1_773),
            ],
        ),
        (
            "reader",
            RefreshState {
                reads_registry: true,
                ..usual
            },
            vec![
                (registry, 0),
                (first, 837),
                (second, 837),
                (random, 1_212),
                (random, 1_399),
                (far, 1_474),
                (random, 1_586),
                (far, 1_661),
                (random, 1_773),
            ],
        ),
        (
            "follower with an old view",
            RefreshState {
                age: Some(ClockTime(2_000)),
                ..usual
            },
            vec![
                (first, 0),
                (second, 0),
                (random, 0),
                (random, 187),
                (registry, 262),
                (random, 374),
                (random, 561),
            ],
        ),
        (
            "start",
            RefreshState { age: None, ..usual },
            vec![(registry, 0), (first, 375), (second, 375), (far, 375)],
        ),
        (
            "reader whose configuration is late",
            RefreshState {
                reads_registry: true,
                config_age: ClockTime(1_500),
                ..usual
            },
            vec![
                (registry, 0),
                (first, 837),
                (second, 837),
                (random, 1_212),
                (random, 1_399),
                (far, 1_474),
                (random, 1_586),
                (far, 1_661),
                (random, 1_773),
            ],
        ),
        (
            "the configuration is late",
            RefreshState {
                config_age: ClockTime(1_500),
                ..usual
            },
            vec![
                (first, 0),
                (second, 0),
                (random, 1_212),
                (random, 1_399),
                (registry, 1_474),
                (random, 1_586),
                (random, 1_773),
            ],
        ),
        (
            "start with a part of the list of endpoints",
            RefreshState {
                age: None,
                introduced: &parents,
                spread: 1.0,
                ..usual
            },
            vec![(first, 0), (second, 187), (registry, 562)],
        ),
        (
            "start without a configuration",
            RefreshState {
                age: None,
                lacks_config: true,
                spread: 1.0,
                ..usual
            },
            vec![(first, 0), (second, 0), (far, 0), (registry, 1_525)],
        ),
    ];
    for (name, state, expected) in table {
        assert_eq!(sources(&plan_refresh(&state)), expected, "{name}");
    }
}

#[test]
fn the_freshest_known_node_is_asked_until_the_end_of_the_plan() {
    let parents = [node(1), node(2)];
    let plan = plan_refresh(&state(&parents));
    let freshest = plan
        .iter()
        .filter(|planned| planned.source == ViewSource::FreshestNode);
    let delays: Vec<u64> = freshest.map(|planned| planned.delay.0).collect();
    assert_eq!(delays, [1_212, 1_399, 1_586, 1_773, 1_960, 2_147, 2_334]);
}

#[test]
fn reads_of_a_large_fleet_are_spread_by_the_rate_of_the_registry() {
    let late = RefreshState {
        age: Some(ClockTime(2_000)),
        fleet_size: 5_500,
        registry_rate: 2_000.0,
        spread: 1.0,
        ..state(&[])
    };
    // 5,500 reads at half of 2,000 a second take 5.5 s.
    let plan = plan_refresh(&late);
    let reads = plan
        .iter()
        .filter(|planned| planned.source == ViewSource::Registry);
    let delays: Vec<u64> = reads.map(|planned| planned.delay.0).collect();
    assert_eq!(delays, [5_762]);
}

#[test]
fn the_freshest_known_nodes_come_first() {
    let mut peers = FreshPeers::new();
    for number in 0..20 {
        peers.record(node(number), ClockTime(u64::from(number) * 10));
    }
    peers.record(node(19), ClockTime(50));
    peers.record(node(15), ClockTime(500));
    peers.remove(node(18));
    let fresher: Vec<IpAddr> = peers.fresher_than(ClockTime(160)).collect();
    assert_eq!(fresher, [node(15), node(19), node(17)]);
    assert_eq!(peers.fresher_than(ClockTime(500)).count(), 0);
}

#[test]
fn a_reader_that_fails_leaves_reading_to_others_for_a_while() {
    let mut reader = ReaderState::new();
    let now = ClockTime(10_000);
    assert!(reader.reads_registry(now, true) && !reader.reads_registry(now, false));
    for pause in [750, 1_500, 3_000, 6_000, 6_000] {
        reader.record_failure(now, INTERVAL);
        assert!(!reader.reads_registry(now + ClockTime(pause - 1), true));
        assert!(reader.reads_registry(now + ClockTime(pause), true));
    }
    // About two of a hundred nodes go on reading after they had to.
    reader.record_backup_read(now, INTERVAL, 100, 0.03);
    assert!(!reader.reads_registry(now + ClockTime(6_000), false));
    reader.record_backup_read(now + ClockTime(6_000), INTERVAL, 100, 0.01);
    assert!(reader.reads_registry(now + ClockTime(6_000), false));
    assert!(!reader.reads_registry(now + ClockTime(6_000 + 6 * 750), false));
}

/// Plays nodes that request each other's views in circles of random length and latency: no node may
/// regard a view as fresher than it is, or the fleet would never read the registry again.
#[test]
fn a_view_that_returns_to_a_node_is_not_fresher() {
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..1_000 {
        // Times are in microseconds; the nodes only see whole milliseconds.
        let true_read_at: u64 = 4_000_000 + random.random_range(0..1_000);
        let mut read_at = ClockTime(true_read_at / 1_000);
        let mut time = 5_000_000;
        for _ in 0..random.random_range(1..20) {
            let sent_at = ClockTime(time / 1_000);
            time += random.random_range(0..80_000);
            let received_at = ClockTime(time / 1_000);
            time += random.random_range(0..500_000);
            let replied_at = ClockTime(time / 1_000);
            time += random.random_range(0..80_000);
            let age = replied_at - read_at;
            read_at = earliest_read_time(sent_at, replied_at - received_at, age);
            assert!(
                read_at.0 * 1_000 <= true_read_at,
                "{read_at} {true_read_at}"
            );
        }
    }
}

#[test]
fn only_an_outage_of_two_heartbeats_or_the_drain_bound_may_have_expired_entries() {
    // (heartbeat, drain bound, shortest outage)
    for (heartbeat, drain, shortest) in [
        (1_500, 3_000, 3_000),
        (1_500, 2_000, 2_000),
        (300, 800, 600),
        (1_000, 5_000, 2_000),
    ] {
        let bounds = MeshBounds {
            config_apply: ClockTime(1_000),
            drain: ClockTime(drain),
            grace: ClockTime(6_000),
            heartbeat: ClockTime(heartbeat),
            retry_ratio: 0.2,
            retry_window: ClockTime(10_000),
            retry_slack: 60.0,
            cold_excess: 1.0,
            cold_tolerance: 0.0,
        };
        assert_eq!(bounds.shortest_expiry(), ClockTime(shortest));
    }
}

/// Guards against an end of an outage that is noticed late: endpoints whose entries are missing are used
/// until a time that counts from it.
#[test]
fn the_reader_of_a_region_reads_every_half_interval_during_an_outage() {
    let parents = [node(1)];
    let plan = plan_refresh(&RefreshState {
        age: Some(ClockTime(1_000)),
        watches_outage: true,
        ..state(&parents)
    });
    let delays: Vec<u64> = plan
        .iter()
        .filter(|planned| planned.source == ViewSource::DelayedRegistry)
        .map(|planned| planned.delay.0)
        .collect();
    assert_eq!(delays, [0, 375, 750, 1_125, 1_500, 1_875, 2_250]);
    let calm = plan_refresh(&state(&parents));
    assert!(
        calm.iter()
            .all(|planned| planned.source != ViewSource::DelayedRegistry)
    );
}
