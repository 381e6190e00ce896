//! Tests of the mesh data model: route lookup, traffic splitting, the service directory and the
//! distribution tree.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use endivelanding::clock::ClockTime;
use endivelanding::id::{EndpointId, RegionName, ServiceName, ZoneName};
use endivelanding::mesh::{
    ClientLimits, ConfigVersion, DirectoryEvent, EndpointRecord, EndpointState, MeshConfig,
    RouteRule, ServiceDirectory, ServiceTarget,
};
use endivelanding::sidecar::{TargetPicker, ViewTree};
use endivelanding::size::ByteSize;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::smallvec;

fn name<Name>(text: &str) -> Name
where
    Name: std::str::FromStr,
    Name::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn route(prefix: &str, targets: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        name: prefix.to_owned(),
        host: "mesh.example".to_owned(),
        prefix: prefix.to_owned(),
        targets: targets
            .iter()
            .map(|(service, weight)| ServiceTarget {
                service: name(service),
                weight: *weight,
            })
            .collect(),
        idempotent: true,
        timeout: ClockTime(1_000),
        objective: ClockTime(300),
        max_attempts: 2,
        priority: 0,
    }
}

fn config(routes: Vec<RouteRule>) -> endivelanding::Result<MeshConfig> {
    let limits = ClientLimits {
        head_size: ByteSize(1_000),
        body_size: ByteSize(1_000),
        head_time: ClockTime(1_000),
        idle_time: ClockTime(1_000),
    };
    MeshConfig::new(ConfigVersion(1), limits, routes)
}

fn endpoint(id: &str, index: u8, born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: name(id),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index)), 80),
        service: name("a"),
        zone: name("west"),
        capacity: 6,
        state: EndpointState::Ready,
        warm_up: ClockTime(0),
        born,
        sequence,
    }
}

fn ready_endpoints(directory: &ServiceDirectory) -> Vec<String> {
    let service: ServiceName = name("a");
    directory
        .ready(&service)
        .map(|record| record.id.to_string())
        .collect()
}

#[test]
fn lookup_returns_the_longest_matching_prefix() {
    let config = config(vec![
        route("/", &[("root", 1)]),
        route("/a/", &[("short", 1)]),
        route("/a/b/", &[("long", 1)]),
    ])
    .expect("a valid configuration");
    let cases = [
        ("/a/b/c", Some("/a/b/")),
        ("/a/b/", Some("/a/b/")),
        ("/a/b", Some("/a/")),
        ("/a/bc/d", Some("/a/")),
        ("/a", Some("/")),
        ("/", Some("/")),
        ("", None),
    ];
    for (path, expected) in cases {
        let found = config
            .lookup("mesh.example", path)
            .map(|rule| rule.prefix.as_str());
        assert_eq!(found, expected, "{path}");
    }
    assert!(config.lookup("other.example", "/a/").is_none());
}

#[test]
fn an_invalid_route_makes_the_configuration_invalid() {
    let cases = [
        vec![route("/a", &[("a", 1)])],
        vec![route("a/", &[("a", 1)])],
        vec![route("/a/", &[])],
        vec![route("/a/", &[("a", 0)])],
        vec![route("/a/", &[("a", 1)]), route("/a/", &[("b", 1)])],
    ];
    for routes in cases {
        assert!(config(routes.clone()).is_err(), "{routes:?}");
    }
}

#[test]
fn targets_receive_their_share_in_every_hundred_requests() {
    let rule = route("/a/", &[("a", 90), ("b", 10), ("none", 0)]);
    let mut picker = TargetPicker::new();
    for _ in 0..5 {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for _ in 0..100 {
            *counts.entry(picker.pick(&rule).to_string()).or_default() += 1;
        }
        assert!((89..=91).contains(&counts["a"]), "{counts:?}");
        assert!(!counts.contains_key("none"));
    }
}

#[test]
fn older_reports_are_ignored_and_a_new_incarnation_resets_the_sequence() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    let mut draining = endpoint("i-1", 1, 10, 7);
    draining.state = EndpointState::Draining;
    assert_eq!(
        directory.upsert(now, draining),
        Some(DirectoryEvent::Draining(name("i-1")))
    );
    assert_eq!(directory.upsert(now, endpoint("i-1", 1, 10, 6)), None);
    assert!(ready_endpoints(&directory).is_empty());
    let restarted = directory.upsert(now, endpoint("i-1", 1, 20, 1));
    assert_eq!(restarted, Some(DirectoryEvent::Ready(name("i-1"))));
    assert_eq!(ready_endpoints(&directory), ["i-1"]);
}

#[test]
fn a_late_report_does_not_restore_a_removed_endpoint() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    directory.upsert(now, endpoint("i-1", 1, 10, 7));
    directory.remove(now, &name("i-1"));
    assert_eq!(directory.upsert(now, endpoint("i-1", 1, 10, 6)), None);
    assert!(directory.is_gone(&name("i-1")));
    assert!(directory.upsert(now, endpoint("i-1", 1, 10, 8)).is_some());
}

#[test]
fn only_the_latest_incarnation_at_an_address_is_used() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    directory.upsert(now, endpoint("i-old", 1, 10, 9));
    directory.upsert(now, endpoint("i-new", 1, 20, 1));
    assert_eq!(ready_endpoints(&directory), ["i-new"]);
    // A late report of the earlier incarnation does not take the address back.
    directory.upsert(now, endpoint("i-old", 1, 10, 10));
    assert_eq!(ready_endpoints(&directory), ["i-new"]);
    directory.remove(now, &name("i-new"));
    assert_eq!(ready_endpoints(&directory), ["i-old"]);
}

#[test]
fn entries_missing_after_an_outage_are_kept_for_the_reregistration_window() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(1_000);
    directory.upsert(now, endpoint("i-1", 1, 10, 1));
    directory.upsert(now, endpoint("i-2", 2, 10, 1));
    directory.keep_missing_until(ClockTime(3_000));
    let missing = directory.retain(now, &HashSet::new());
    assert_eq!(missing.len(), 2);
    assert_eq!(ready_endpoints(&directory), ["i-1", "i-2"]);
    directory.upsert(ClockTime(2_000), endpoint("i-1", 1, 10, 2));
    assert!(directory.expire(ClockTime(2_999)).is_empty());
    let gone = directory.expire(ClockTime(3_000));
    assert_eq!(gone, [DirectoryEvent::Gone(name("i-2"))]);
    assert_eq!(ready_endpoints(&directory), ["i-1"]);
}

#[test]
fn a_delta_lists_changes_and_an_unknown_generation_gets_a_snapshot() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    directory.upsert(now, endpoint("i-1", 1, 10, 1));
    directory.upsert(now, endpoint("i-2", 2, 10, 1));
    let generation = directory.generation();
    // A report without new content does not count as a change.
    directory.upsert(now, endpoint("i-1", 1, 10, 2));
    assert_eq!(directory.generation(), generation);
    directory.remove(now, &name("i-2"));
    directory.upsert(now, endpoint("i-3", 3, 10, 1));
    let delta = directory.delta(Some(generation));
    assert!(!delta.is_snapshot);
    assert_eq!(delta.removed, [name::<EndpointId>("i-2")]);
    assert_eq!(delta.present.len(), 1);
    for since in [None, Some(generation + 100)] {
        let delta = directory.delta(since);
        assert!(delta.is_snapshot);
        assert_eq!(delta.present.len(), 2);
    }
}

/// The published endpoints of a simulated registry, and the changes that led to them.
#[derive(Default)]
struct SimulatedRegistry {
    /// The position of a change is its index plus one.
    changes: Vec<(u8, bool)>,
    listed: HashSet<u8>,
}

impl SimulatedRegistry {
    fn change(&mut self, random: &mut StdRng) {
        let index = random.random_range(0..20);
        let is_added = self.listed.insert(index);
        if !is_added {
            self.listed.remove(&index);
        }
        self.changes.push((index, is_added));
    }

    fn position(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Applies the changes after the position of the directory, as a watch reports them.
    fn watch(&self, directory: &mut ServiceDirectory) {
        let start = directory.position();
        for (offset, (index, is_added)) in self.changes[start as usize..].iter().enumerate() {
            apply(directory, *index, start + offset as u64 + 1, *is_added);
        }
        directory.advance(self.position());
    }

    /// Reads all endpoints. The configuration is received from a node at an earlier position.
    fn read_all(&self, directory: &mut ServiceDirectory, random: &mut StdRng) {
        let listed: HashSet<EndpointId> = self.listed.iter().map(|index| id(*index)).collect();
        directory.retain(ClockTime(0), &listed);
        for index in &self.listed {
            let change = self.changes.iter().rposition(|(other, _)| other == index);
            let born = change.expect("a listed endpoint was added") as u64 + 1;
            directory.upsert(ClockTime(0), endpoint(id(*index).as_str(), *index, born, 1));
        }
        directory.record_full_listing(self.position());
        let config_position = random.random_range(directory.position()..=self.position());
        directory.advance(config_position);
    }
}

fn id(index: u8) -> EndpointId {
    name(&format!("i-{index}"))
}

fn apply(directory: &mut ServiceDirectory, index: u8, position: u64, is_added: bool) {
    if is_added {
        directory.upsert(
            ClockTime(0),
            endpoint(id(index).as_str(), index, position, 1),
        );
    } else {
        directory.remove(ClockTime(0), &id(index));
    }
}

/// Applies the changes that one directory has and the other one lacks. `cursor` is the last state of
/// the source that was received.
fn follow(directory: &mut ServiceDirectory, source: &ServiceDirectory, cursor: &mut Option<u64>) {
    let is_older = source.position() < directory.position()
        || source.listed_position() < directory.listed_position();
    if is_older {
        return;
    }
    let since = source.generation_at(directory.listed_position());
    let delta = source.delta(since.max(*cursor));
    *cursor = Some(source.generation());
    let mut listed = HashSet::new();
    for (record, _) in delta.present {
        listed.insert(record.id.clone());
        directory.upsert(ClockTime(0), record.as_ref().clone());
    }
    if delta.is_snapshot {
        directory.retain(ClockTime(0), &listed);
    }
    for removed in delta.removed {
        directory.remove_immediately(&removed);
    }
    if delta.is_snapshot {
        directory.record_full_listing(source.listed_position());
    }
    directory.record_listing(source.listed_position());
    directory.advance(source.position());
}

/// Plays directories that follow the registry and each other in random order: those that reflect the
/// same position must list the same endpoints.
#[test]
fn directories_at_one_position_list_the_same_endpoints() {
    let mut compared = 0;
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut registry = SimulatedRegistry::default();
        let mut directories: Vec<ServiceDirectory> =
            (0..5).map(|_| ServiceDirectory::new()).collect();
        let mut cursors: HashMap<(usize, usize), Option<u64>> = HashMap::new();
        for _ in 0..300 {
            let index = random.random_range(0..directories.len());
            match random.random_range(0..10) {
                0..4 => registry.change(&mut random),
                4 => registry.watch(&mut directories[index]),
                5 => registry.read_all(&mut directories[index], &mut random),
                6 => {
                    directories[index] = ServiceDirectory::new();
                    cursors.retain(|(first, second), _| *first != index && *second != index);
                }
                _ => {
                    let mut directory = std::mem::take(&mut directories[index]);
                    let source = random.random_range(0..directories.len());
                    if source != index {
                        let cursor = cursors.entry((index, source)).or_default();
                        follow(&mut directory, &directories[source], cursor);
                    }
                    directories[index] = directory;
                }
            }
            let directory = &directories[index];
            let head = registry.position();
            if directory.listed_position() == head {
                let expected: BTreeSet<EndpointId> =
                    registry.listed.iter().map(|index| id(*index)).collect();
                let listed: BTreeSet<EndpointId> = directory
                    .records()
                    .map(|record| record.id.clone())
                    .collect();
                assert_eq!(listed, expected, "seed {seed}, position {head}");
                compared += 1;
            }
        }
    }
    assert!(compared > 1_000, "{compared}");
}

#[test]
fn each_region_has_two_trees_of_few_levels_that_share_no_inner_node() {
    let mut directory = ServiceDirectory::new();
    for index in 0..200 {
        let id = format!("i-{index}");
        directory.upsert(ClockTime(0), endpoint(&id, index, 10, 1));
    }
    let region: RegionName = name("coast");
    let regions = |_: &ZoneName| Some(name::<RegionName>("coast"));
    let tree = ViewTree::new(&directory, regions, &region);
    let readers = tree.readers();
    assert_eq!(readers.len(), 2);
    let mut children: HashMap<IpAddr, usize> = HashMap::new();
    for node in tree.nodes() {
        let parents = tree.parents(*node);
        let expected = if readers.contains(node) { 1 } else { 2 };
        assert_eq!(parents.len(), expected, "parents of {node}");
        for parent in &parents {
            *children.entry(*parent).or_default() += 1;
        }
        // The way up in the first tree, and in the second one.
        for (side, root) in readers.iter().enumerate() {
            let mut ancestor = *node;
            let mut level = 0;
            while ancestor != *root {
                level += 1;
                assert!(
                    level <= 3,
                    "200 nodes fill at most three levels below a root"
                );
                let parents = tree.parents(ancestor);
                ancestor = parents[side.min(parents.len() - 1)];
            }
        }
    }
    // Besides its children, a root has the other root below it in the other tree.
    assert!(children.values().all(|count| *count <= 9), "{children:?}");
    assert!(
        children.len() <= 2 * 25,
        "200 nodes have 25 inner nodes a tree"
    );
    let unlisted = IpAddr::V4(Ipv4Addr::new(10, 9, 9, 9));
    assert_eq!(tree.parents(unlisted), readers);
    let empty: smallvec::SmallVec<[IpAddr; 1]> = smallvec![];
    assert_eq!(
        ViewTree::new(&ServiceDirectory::new(), regions, &region).nodes(),
        &empty[..]
    );
}
