//! Tests of the configuration deltas that nodes exchange instead of full configurations: a node
//! that receives updates from another node must arrive at the same routes, whichever versions
//! either of them skipped.

use std::collections::BTreeMap;

use endivelanding::clock::ClockTime;
use endivelanding::homes::HomeRegions;
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

fn route(index: u8, weight: u32) -> RouteRule {
    let service = "a".parse().expect("a valid name");
    RouteRule {
        name: format!("route-{index}"),
        host: format!("host-{}.example", index % 2),
        prefix: format!("/{index}/"),
        targets: smallvec![ServiceTarget { service, weight }],
        idempotent: true,
        timeout: ClockTime(1_000),
        objective: ClockTime(300),
        max_attempts: 2,
        priority: 0,
        homes: HomeRegions::default(),
    }
}

fn config(version: u64, routes: &BTreeMap<u8, u32>) -> MeshConfig {
    let routes = routes.iter().map(|(index, weight)| route(*index, *weight));
    MeshConfig::new(ConfigVersion(version), limits(version), routes.collect()).expect("valid")
}

fn sorted_weights(config: &MeshConfig) -> Vec<(String, u32)> {
    let mut routes: Vec<_> = config
        .rules()
        .map(|rule| (rule.name.clone(), rule.targets[0].weight))
        .collect();
    routes.sort();
    routes
}

/// Returns the configuration of a node after it was updated from a source that has installed
/// `config`.
fn update_from(
    own: Option<MeshConfig>,
    history: &ConfigHistory,
    config: &MeshConfig,
) -> MeshConfig {
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
    // Route 1 is removed in version 2 and added again in version 3. A source that goes from version
    // 1 to 3 sees no change, so a delta for a follower at version 2 would lack the route.
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
fn a_delta_for_another_version_is_rejected() {
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
fn a_follower_that_is_many_versions_behind_gets_no_delta() {
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

#[test]
fn a_delta_from_any_version_that_is_kept_lacks_no_route() {
    let routes_of = |version: u64| BTreeMap::from([(version as u8, 1), (250, version as u32 + 1)]);
    let mut history = ConfigHistory::new();
    let mut held = config(0, &routes_of(0));
    history.record(None, &held);
    for version in (3..240).step_by(3) {
        let next = config(version, &routes_of(version));
        history.record(Some(&held), &next);
        held = next;
        for base in (0..version).step_by(3) {
            let own = config(base, &routes_of(base));
            let updated = update_from(Some(own), &history, &held);
            assert_eq!(
                sorted_weights(&updated),
                sorted_weights(&held),
                "from {base}"
            );
        }
    }
}

/// A node that follows the registry and other nodes.
#[derive(Debug, Default)]
struct HistoryNode {
    config: Option<MeshConfig>,
    history: ConfigHistory,
}

impl HistoryNode {
    fn version(&self) -> Option<ConfigVersion> {
        self.config.as_ref().map(MeshConfig::version)
    }

    fn install(&mut self, config: MeshConfig) {
        if self.version() < Some(config.version()) {
            self.history.record(self.config.as_ref(), &config);
            self.config = Some(config);
        }
    }
}

/// One step of a random run of several nodes, which are given by their number.
#[derive(Debug, Clone)]
enum HistoryStep {
    /// Publishes routes under a version that is higher by the number.
    Publish(u64, BTreeMap<u8, u32>),
    Read(usize),
    /// The first node asks the second one.
    Ask(usize, usize),
    Restart(usize),
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    let routes = prop::collection::btree_map(0u8..6, 1u32..3, 0..6);
    let node = || 0..NODE_COUNT;
    prop_oneof![
        8 => (1u64..9, routes).prop_map(|(step, routes)| HistoryStep::Publish(step, routes)),
        5 => node().prop_map(HistoryStep::Read),
        12 => (node(), node()).prop_map(|(from, to)| HistoryStep::Ask(from, to)),
        1 => node().prop_map(HistoryStep::Restart),
    ]
}

const NODE_COUNT: usize = 5;

proptest! {
    #[test]
    fn no_node_of_a_chain_lacks_a_route_of_its_version(
        steps in prop::collection::vec(history_step(), 1..2_000),
    ) {
        let mut nodes: [HistoryNode; NODE_COUNT] = Default::default();
        let mut published = BTreeMap::from([(0, BTreeMap::new())]);
        let mut newest = 0;
        for step in steps {
            let changed = match step {
                HistoryStep::Publish(step, routes) => {
                    newest += step;
                    published.insert(newest, routes);
                    continue;
                }
                HistoryStep::Read(node) => {
                    nodes[node].install(config(newest, &published[&newest]));
                    node
                }
                HistoryStep::Ask(node, source) => {
                    let is_newer = nodes[source].version() > nodes[node].version();
                    let Some(held) = nodes[source].config.as_ref().filter(|_| is_newer) else {
                        continue;
                    };
                    let own = nodes[node].config.as_ref().map(MeshConfig::snapshot);
                    let own = own.map(|own| MeshConfig::from_snapshot(own).expect("valid"));
                    let updated = update_from(own, &nodes[source].history, held);
                    nodes[node].install(updated);
                    node
                }
                HistoryStep::Restart(node) => {
                    nodes[node] = HistoryNode::default();
                    continue;
                }
            };
            let installed = nodes[changed].config.as_ref().expect("installed");
            let version = installed.version().0;
            let expected = config(version, &published[&version]);
            prop_assert_eq!(installed.limits(), expected.limits());
            prop_assert_eq!(sorted_weights(installed), sorted_weights(&expected));
        }
    }

    #[test]
    fn a_follower_arrives_at_the_routes_of_its_source(
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
                // The follower reads the registry itself and gets ahead of the source.
                follower = Some(published);
                continue;
            }
            let Some(source) = source.as_ref().filter(|_| *follower_asks) else {
                continue;
            };
            if follower.as_ref().is_some_and(|own| own.version() >= source.version()) {
                continue;
            }
            let updated = update_from(follower.take(), &history, source);
            prop_assert_eq!(updated.version(), source.version());
            prop_assert_eq!(updated.limits(), source.limits());
            prop_assert_eq!(sorted_weights(&updated), sorted_weights(source));
            follower = Some(updated);
        }
    }
}
