//! Guards what a node knows of the mesh: routes, endpoints, and from whom it learns.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use endivelanding::clock::ClockTime;
use endivelanding::id::{EndpointId, RegionName, ServiceName, ZoneName};
use endivelanding::mesh::{
    ClientLimits, ConfigVersion, DirectoryEvent, EndpointRecord, EndpointState, MeshConfig,
    RouteRule, ServiceDirectory, ServiceTarget,
};
use endivelanding::sidecar::{TargetPicker, ViewTree};
use endivelanding::size::ByteSize;
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

fn endpoint(id: &str, place: u8, born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: name(id),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, place)), 80),
        service: name("a"),
        zone: name("west"),
        capacity: 6,
        state: EndpointState::Ready,
        warm_up: ClockTime(0),
        born,
        sequence,
    }
}

fn ready(directory: &ServiceDirectory) -> Vec<String> {
    let service: ServiceName = name("a");
    directory
        .ready(&service)
        .map(|record| record.id.to_string())
        .collect()
}

#[test]
fn the_longest_prefix_of_a_path_wins() {
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
fn broken_routes_make_the_whole_configuration_invalid() {
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
fn parts_get_their_share_in_every_stretch_of_requests() {
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
fn older_reports_change_nothing_and_a_new_start_counts_anew() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    let mut leaving = endpoint("i-1", 1, 10, 7);
    leaving.state = EndpointState::Draining;
    assert_eq!(
        directory.upsert(now, leaving),
        Some(DirectoryEvent::Draining(name("i-1")))
    );
    assert_eq!(directory.upsert(now, endpoint("i-1", 1, 10, 6)), None);
    assert!(ready(&directory).is_empty());
    let restarted = directory.upsert(now, endpoint("i-1", 1, 20, 1));
    assert_eq!(restarted, Some(DirectoryEvent::Ready(name("i-1"))));
    assert_eq!(ready(&directory), ["i-1"]);
}

#[test]
fn a_late_report_does_not_bring_a_removed_endpoint_back() {
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
    assert_eq!(ready(&directory), ["i-new"]);
    // A last report of the old one that arrives late does not win.
    directory.upsert(now, endpoint("i-old", 1, 10, 10));
    assert_eq!(ready(&directory), ["i-new"]);
    directory.remove(now, &name("i-new"));
    assert_eq!(ready(&directory), ["i-old"]);
}

#[test]
fn entries_missing_after_an_outage_are_kept_for_the_settle_time() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(1_000);
    directory.upsert(now, endpoint("i-1", 1, 10, 1));
    directory.upsert(now, endpoint("i-2", 2, 10, 1));
    directory.keep_missing_until(ClockTime(3_000));
    let missing = directory.retain(now, &HashSet::new());
    assert_eq!(missing.len(), 2);
    assert_eq!(ready(&directory), ["i-1", "i-2"]);
    directory.upsert(ClockTime(2_000), endpoint("i-1", 1, 10, 2));
    assert!(directory.expire(ClockTime(2_999)).is_empty());
    let gone = directory.expire(ClockTime(3_000));
    assert_eq!(gone, [DirectoryEvent::Gone(name("i-2"))]);
    assert_eq!(ready(&directory), ["i-1"]);
}

#[test]
fn a_delta_holds_what_changed_and_a_lost_reader_gets_all() {
    let mut directory = ServiceDirectory::new();
    let now = ClockTime(0);
    directory.upsert(now, endpoint("i-1", 1, 10, 1));
    directory.upsert(now, endpoint("i-2", 2, 10, 1));
    let seen = directory.generation();
    // A report that changes nothing is no news.
    directory.upsert(now, endpoint("i-1", 1, 10, 2));
    assert_eq!(directory.generation(), seen);
    directory.remove(now, &name("i-2"));
    directory.upsert(now, endpoint("i-3", 3, 10, 1));
    let delta = directory.delta(Some(seen));
    assert!(!delta.is_snapshot);
    assert_eq!(delta.removed, [name::<EndpointId>("i-2")]);
    assert_eq!(delta.present.len(), 1);
    for since in [None, Some(seen + 100)] {
        let delta = directory.delta(since);
        assert!(delta.is_snapshot);
        assert_eq!(delta.present.len(), 2);
    }
}

#[test]
fn each_region_has_one_reader_and_few_levels() {
    let mut directory = ServiceDirectory::new();
    for place in 0..200 {
        let id = format!("i-{place}");
        directory.upsert(ClockTime(0), endpoint(&id, place, 10, 1));
    }
    let region: RegionName = name("coast");
    let regions = |_: &ZoneName| Some(name::<RegionName>("coast"));
    let tree = ViewTree::new(&directory, regions, &region);
    let mut children: HashMap<IpAddr, usize> = HashMap::new();
    let mut readers = 0;
    for node in tree.nodes() {
        let mut level = 0;
        let mut above = tree.parent(*node);
        match above {
            Some(parent) => *children.entry(parent).or_default() += 1,
            None => readers += 1,
        }
        while let Some(parent) = above {
            level += 1;
            assert!(level <= 3, "200 nodes fill three levels below the reader");
            above = tree.parent(parent);
        }
    }
    assert_eq!(readers, 1);
    assert!(children.values().all(|count| *count <= 8));
    let unlisted = IpAddr::V4(Ipv4Addr::new(10, 9, 9, 9));
    assert!(tree.parent(unlisted).is_some());
    let empty: smallvec::SmallVec<[IpAddr; 1]> = smallvec![];
    assert_eq!(
        ViewTree::new(&ServiceDirectory::new(), regions, &region).nodes(),
        &empty[..]
    );
}
