//! Tests of the mesh data model: route lookup, traffic splitting, the service directory and the
//! distribution tree.

#[path = "support/mesh_records.rs"]
mod mesh_records;

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};

use endivelanding::clock::ClockTime;
use endivelanding::homes::HomeRegions;
use endivelanding::id::{EndpointId, RegionName, ServiceName, ZoneName};
use endivelanding::mesh::{
    ClientLimits, ConfigVersion, DirectoryEvent, EndpointRecord, EndpointState, HistoryEra,
    HistoryPosition, MeshConfig, RouteRule, ServiceDirectory, ServiceTarget,
};
use endivelanding::sidecar::{TargetPicker, ViewTree};
use endivelanding::size::ByteSize;
use mesh_records::{endpoint, name};
use smallvec::smallvec;

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
        homes: HomeRegions::default(),
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

fn at(era: u64, revision: u64) -> HistoryPosition {
    HistoryPosition {
        era: HistoryEra(era),
        revision,
    }
}

#[test]
fn the_entry_of_a_copy_does_not_restore_an_endpoint_that_left_in_an_earlier_era() {
    // (sequence of the entry, whether the endpoint is in use afterwards)
    for (sequence, is_used) in [(6, false), (7, false), (8, true), (40, true)] {
        let mut directory = ServiceDirectory::new();
        let now = ClockTime(1_000);
        directory.upsert(now, endpoint("i-1", 1, 10, 7));
        directory.remove(now, &name("i-1"));
        directory.record_listing(at(1, 30));
        directory.keep_missing_until(ClockTime(3_500));
        directory.upsert(now, endpoint("i-1", 1, 10, sequence));
        directory.record_full_listing(at(2, 20));
        let used = !ready_endpoints(&directory).is_empty();
        assert_eq!(used, is_used, "sequence {sequence}");
        // The endpoint is alive if it reports once more, and so is its next incarnation.
        directory.upsert(now, endpoint("i-1", 1, 10, 41));
        assert_eq!(ready_endpoints(&directory), ["i-1"]);
    }
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(1_000);
    directory.upsert(now, endpoint("i-1", 1, 10, 7));
    directory.remove(now, &name("i-1"));
    directory.upsert(now, endpoint("i-1", 1, 10, 7));
    assert_eq!(ready_endpoints(&directory), ["i-1"], "of the same read");
    directory.remove(now, &name("i-1"));
    directory.record_listing(at(1, 30));
    directory.upsert(now, endpoint("i-1", 1, 10, 7));
    assert!(ready_endpoints(&directory).is_empty(), "of a later read");
    directory.upsert(now, endpoint("i-1", 1, 20, 1));
    assert_eq!(ready_endpoints(&directory), ["i-1"], "of a later start");
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
    let generation = directory.generation();
    let mut resized = endpoint("i-1", 1, 10, 3);
    resized.capacity += 1;
    directory.upsert(now, resized);
    let delta = directory.delta(Some(generation));
    assert_eq!(delta.present.len(), 1, "a new capacity is a change");
    for since in [None, Some(generation + 100)] {
        let delta = directory.delta(since);
        assert!(delta.is_snapshot);
        assert_eq!(delta.present.len(), 2);
    }
}

#[test]
fn a_delta_lists_what_was_written_again_after_a_restore_and_no_heartbeat_after_the_window() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(1_000);
    let window_end = ClockTime(3_500);
    directory.upsert(now, endpoint("i-1", 1, 10, 5));
    directory.upsert(now, endpoint("i-2", 2, 10, 5));
    directory.keep_missing_until(window_end);
    // The copy lists an older record of one endpoint.
    directory.upsert(now, endpoint("i-2", 2, 10, 3));
    let changes_after = |directory: &mut ServiceDirectory, time, id: &str, host, sequence| {
        let generation = directory.generation();
        directory.upsert(time, endpoint(id, host, 10, sequence));
        directory.generation() - generation
    };
    assert_eq!(changes_after(&mut directory, now, "i-1", 1, 6), 1);
    assert_eq!(changes_after(&mut directory, window_end, "i-1", 1, 7), 0);
    assert_eq!(changes_after(&mut directory, window_end, "i-2", 2, 6), 1);
    assert_eq!(changes_after(&mut directory, window_end, "i-2", 2, 7), 0);
    let generation = directory.generation();
    directory.remove(window_end, &name("i-3"));
    let delta = directory.delta(Some(generation));
    assert_eq!(delta.removed, [name::<EndpointId>("i-3")]);
}

#[test]
fn late_reports_of_many_removed_endpoints_restore_none_of_the_last_ones() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    let record = |number: usize| endpoint(&format!("i-{number}"), 1, 10, 2);
    for number in 0..6_000 {
        directory.upsert(now, record(number));
        directory.remove(now, &record(number).id);
    }
    for number in 2_000..6_000 {
        let late = EndpointRecord {
            sequence: 1,
            ..record(number)
        };
        assert_eq!(directory.upsert(now, late), None, "{number}");
    }
    assert!(directory.is_empty());
    assert!(!directory.is_gone(&record(0).id), "removed first");
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

#[test]
fn children_and_parents_of_the_trees_agree() {
    let mut directory = ServiceDirectory::new();
    for index in 0..200 {
        let id = format!("i-{index}");
        directory.upsert(ClockTime(0), endpoint(&id, index, 10, 1));
    }
    let regions = |_: &ZoneName| Some(name::<RegionName>("coast"));
    let tree = ViewTree::new(&directory, regions, &name("coast"));
    for node in tree.nodes() {
        let children: HashSet<IpAddr> = tree.children(*node).into_iter().collect();
        let expected: HashSet<IpAddr> = tree
            .nodes()
            .iter()
            .copied()
            .filter(|other| tree.parents(*other).contains(node))
            .collect();
        assert_eq!(children, expected, "{node}");
    }
}
