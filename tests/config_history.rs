//! Guards the changes that nodes exchange in place of whole configurations: a node that follows
//! another one must reach the same routes, whichever versions each of them skipped.

use std::collections::BTreeMap;

use endivelanding::clock::ClockTime;
use endivelanding::mesh::{
    ClientLimits, ConfigHistory, ConfigVersion, MeshConfig, RouteRule, ServiceTarget,
};
use endivelanding::size::ByteSize;
use proptest::prelude::*;
use smallvec::smallvec;

fn limits(idle: u64) -> ClientLimits {
    ClientLimits {
        head_size: ByteSize(1_000),
        body_size: ByteSize(1_000),
        head_time: ClockTime(1_000),
        idle_time: ClockTime(idle),
    }
}

fn route(place: u8, weight: u32) -> RouteRule {
    let service = "a".parse().expect("a valid name");
    RouteRule {
        name: format!("route-{place}"),
        host: format!("host-{}.example", place % 2),
        prefix: format!("/{place}/"),
        targets: smallvec![ServiceTarget { service, weight }],
        idempotent: true,
        timeout: ClockTime(1_000),
        objective: ClockTime(300),
        max_attempts: 2,
        priority: 0,
    }
}

fn config(version: u64, routes: &BTreeMap<u8, u32>) -> MeshConfig {
    let routes = routes.iter().map(|(place, weight)| route(*place, *weight));
    MeshConfig::new(ConfigVersion(version), limits(version), routes.collect()).expect("valid")
}

fn sorted(config: &MeshConfig) -> Vec<(String, u32)> {
    let mut routes: Vec<_> = config
        .rules()
        .map(|rule| (rule.name.clone(), rule.targets[0].weight))
        .collect();
    routes.sort();
    routes
}

/// Follows a source that has held `config`, as a node does that asks it.
fn follow(own: Option<MeshConfig>, history: &ConfigHistory, config: &MeshConfig) -> MeshConfig {
    let delta = own
        .as_ref()
        .and_then(|own| history.delta(own.version(), config));
    match (own, delta) {
        (Some(own), Some(delta)) => own.with_delta(delta).expect("a delta of the held version"),
        _ => MeshConfig::from_snapshot(config.snapshot()).expect("valid"),
    }
}

#[test]
fn a_version_that_the_source_skipped_gets_no_delta() {
    // Route 1 is removed in version 2 and added again in version 3; a source that goes from 1 to 3
    // sees no change, so a follower with version 2 would miss the route.
    let first = config(1, &BTreeMap::from([(1, 1), (2, 1)]));
    let third = config(3, &BTreeMap::from([(1, 1), (2, 1)]));
    let mut history = ConfigHistory::new();
    history.record(None, &first);
    history.record(Some(&first), &third);
    assert!(history.delta(ConfigVersion(2), &third).is_none());
    let delta = history.delta(ConfigVersion(1), &third).expect("held");
    assert!(delta.changed.is_empty() && delta.removed.is_empty());
}

#[test]
fn a_delta_of_another_version_is_refused() {
    let first = config(1, &BTreeMap::from([(1, 1)]));
    let third = config(3, &BTreeMap::from([(1, 2)]));
    let mut history = ConfigHistory::new();
    history.record(None, &first);
    history.record(Some(&first), &third);
    let delta = history.delta(ConfigVersion(1), &third).expect("held");
    let second = config(2, &BTreeMap::from([(1, 1), (2, 1)]));
    assert!(second.with_delta(delta).is_err());
}

#[test]
fn a_long_row_of_versions_ends_in_the_whole_configuration() {
    let mut history = ConfigHistory::new();
    let mut held = config(0, &BTreeMap::from([(1, 1)]));
    history.record(None, &held);
    for version in 1..200 {
        let next = config(version, &BTreeMap::from([(1, version as u32 + 1)]));
        history.record(Some(&held), &next);
        held = next;
    }
    assert!(history.delta(ConfigVersion(0), &held).is_none());
    assert!(history.delta(ConfigVersion(198), &held).is_some());
}

proptest! {
    #[test]
    fn a_follower_reaches_the_routes_of_its_source(
        versions in prop::collection::vec(
            (prop::collection::btree_map(0u8..6, 1u32..3, 0..5), any::<bool>(), any::<bool>()),
            1..120,
        ),
    ) {
        let mut history = ConfigHistory::new();
        let mut source: Option<MeshConfig> = None;
        let mut follower: Option<MeshConfig> = None;
        for (number, (routes, source_reads, follower_asks)) in versions.iter().enumerate() {
            let published = config(number as u64, routes);
            if *source_reads {
                history.record(source.as_ref(), &published);
                source = Some(published);
            } else if *follower_asks {
                // The follower has read the registry itself and is ahead of the source.
                follower = Some(published);
                continue;
            }
            let Some(source) = source.as_ref().filter(|_| *follower_asks) else {
                continue;
            };
            if follower.as_ref().is_some_and(|own| own.version() >= source.version()) {
                continue;
            }
            let followed = follow(follower.take(), &history, source);
            prop_assert_eq!(followed.version(), source.version());
            prop_assert_eq!(followed.limits(), source.limits());
            prop_assert_eq!(sorted(&followed), sorted(source));
            follower = Some(followed);
        }
    }
}
