//! Version order, startup, pauses and links of a node, and message exchange between nodes.

use std::collections::{BTreeMap, BTreeSet};

use endivelanding::ResultCode::{ManifestDigestMismatch, ManifestOutOfRange, ManifestUnknownField};
use endivelanding::clock::ClockTime;
use endivelanding::distribution::{
    Actions, ControlAction, ControlSettings, ControlState, DeltaLog, FleetView, LinkChange,
    NeighborSet, OfferOutcome, ReadinessState, VersionTracker,
};
use endivelanding::id::{NodeAddress, NodeIncarnation};
use endivelanding::manifest::Manifest;
use endivelanding::membership::{MemberEntry, MemberState, MemberTable};
use endivelanding::peer::{ControlMessage, NodeHello};
use endivelanding::platform::ConfigRead;
use endivelanding::size::CallRate;
use endivelanding::version::VersionStamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn address(port: u16) -> NodeAddress {
    format!("127.0.0.1:{port}").parse().unwrap()
}

fn member(port: u16, zone: &str, region: &str) -> MemberEntry {
    MemberEntry {
        address: address(port),
        admin: address(port + 10_000),
        incarnation: NodeIncarnation(1),
        service: "s0".parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: region.parse().unwrap(),
        state: MemberState::Live,
    }
}

fn control(port: u16, zone: &str, region: &str, seeds: &[u16]) -> ControlState {
    let settings = ControlSettings {
        member: member(port, zone, region),
        platform_region: "central".parse().unwrap(),
        call_budget: CallRate(2_000.0),
        watch_wait: ClockTime(3_000),
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        every_node_watches: false,
    };
    ControlState::new(settings, ClockTime(0))
}

fn published(number: u64, slots: &[u32]) -> Vec<u8> {
    let services = slots.iter().enumerate().map(|(n, slots)| {
        format!(r#"{{"name":"s{n}","protocol":"http1","slots":{slots},"connections":9}}"#)
    });
    let services = services.collect::<Vec<_>>().join(",");
    format!(r#"{{"number":{number},"services":[{services}],"routes":[]}}"#).into_bytes()
}

fn manifest(number: u64, slots: &[u32]) -> Manifest {
    Manifest::decode(&published(number, slots)).unwrap()
}

fn tracker_with(bytes: &[u8]) -> VersionTracker {
    let mut tracker = VersionTracker::default();
    assert!(matches!(
        tracker.offer_published(bytes),
        OfferOutcome::Installed(_)
    ));
    tracker
}

/// Guards against nodes that end up with different versions when deltas cross in flight.
#[test]
fn crossing_updates() {
    let versions = [
        manifest(1, &[1, 1]),
        manifest(2, &[2, 1]),
        manifest(3, &[2, 3]),
    ];
    let deltas = [
        versions[0].delta_to(&versions[1]),
        versions[1].delta_to(&versions[2]),
        versions[0].delta_to(&versions[2]),
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        let mut tracker = tracker_with(&published(1, &[1, 1]));
        let mut last = tracker.stamp();
        for index in order {
            tracker.offer_delta(&deltas[index]);
            assert!(tracker.stamp() >= last, "{order:?}: version regressed");
            last = tracker.stamp();
        }
        // If an out-of-order delta was not applied, the version is built from its pieces.
        if last != versions[2].stamp() {
            let pieces = versions[2].pieces().values().cloned().collect();
            tracker.offer_pieces(versions[2].stamp(), pieces);
        }
        assert_eq!(tracker.stamp(), versions[2].stamp(), "{order:?}");
    }
}

/// Guards against nodes that settle on different contents published under one number.
#[test]
fn two_contents_under_one_number() {
    let (a, b) = (published(5, &[1]), published(5, &[2]));
    let (mut one, mut two) = (tracker_with(&a), tracker_with(&b));
    one.offer_published(&b);
    two.offer_published(&a);
    assert_eq!(one.stamp(), two.stamp());
    assert_eq!(one.conflicts(), two.conflicts());
    assert_eq!(one.conflicts().len(), 1);
    assert!(one.refused().is_empty() && two.refused().is_empty());
}

/// Guards against a stale configuration service or an invalid version replacing the one in force.
#[test]
fn lower_numbers_and_bad_versions_change_nothing() {
    let mut tracker = tracker_with(&published(7, &[1]));
    assert!(matches!(
        tracker.offer_published(&published(6, &[2])),
        OfferOutcome::Older
    ));
    assert_eq!((tracker.stamp().number, tracker.stale_reads()), (7, 1));
    assert!(matches!(
        tracker.offer_published(&published(7, &[1])),
        OfferOutcome::Unchanged
    ));
    assert_eq!(tracker.stale_reads(), 1);
    let bad = published(8, &[0]);
    assert!(matches!(
        tracker.offer_published(&bad),
        OfferOutcome::Refused(_)
    ));
    assert!(matches!(
        tracker.offer_published(&bad),
        OfferOutcome::Unchanged
    ));
    tracker.offer_published(br#"{"number":9,"other":1}"#);
    let refused: Vec<_> = tracker
        .refused()
        .iter()
        .map(|refused| (refused.number, refused.code))
        .collect();
    assert_eq!(
        refused,
        [(8, ManifestOutOfRange), (9, ManifestUnknownField)]
    );
    assert_eq!(tracker.stamp().number, 7);
}

/// Guards against applying a corrupted or unrelated delta, and against refusing a version because
/// its transfer failed.
#[test]
fn delta_gap_and_digest_mismatch() {
    let (one, two) = (manifest(1, &[1, 1]), manifest(2, &[2, 1]));
    let mut delta = one.delta_to(&two);
    let mut other_base = tracker_with(&published(1, &[9]));
    assert!(matches!(
        other_base.offer_delta(&delta),
        OfferOutcome::NeedIndex
    ));
    *delta.changed[0].bytes.last_mut().unwrap() ^= 1;
    assert_eq!(
        one.apply_delta(&delta).unwrap_err().code(),
        ManifestDigestMismatch
    );
    let mut tracker = tracker_with(&published(1, &[1, 1]));
    assert!(matches!(
        tracker.offer_delta(&delta),
        OfferOutcome::NeedIndex
    ));
    assert_eq!(tracker.stamp(), one.stamp());
    assert!(matches!(
        tracker.offer_delta(&one.delta_to(&two)),
        OfferOutcome::Installed(_)
    ));
}

/// Guards against a composed delta that misses a service or covers more than 32 changes.
#[test]
fn delta_log_composes() {
    let versions: Vec<_> = (0..40u32)
        .map(|n| {
            manifest(
                u64::from(n) + 1,
                &[n % 7 + 1, n / 7 + 1, 1][..2 + n as usize % 2],
            )
        })
        .collect();
    let mut log = DeltaLog::default();
    versions
        .windows(2)
        .for_each(|pair| log.record(&pair[0].delta_to(&pair[1])));
    let last = &versions[39];
    for (n, version) in versions.iter().enumerate().take(39) {
        let delta = log.compose(version.stamp(), last);
        assert_eq!(delta.is_some(), n >= 7, "{n}");
        if let Some(delta) = delta {
            assert_eq!(version.apply_delta(&delta).unwrap().stamp(), last.stamp());
        }
    }
}

/// Guards against a node that becomes ready with an unverified version.
#[test]
fn start_and_pause_rules() {
    let (at, low, high) = (
        ClockTime,
        manifest(1, &[1]).stamp(),
        manifest(2, &[1]).stamp(),
    );
    let mut restarted = ReadinessState::new(at(0));
    restarted.on_peer_queried(address(1), at(0));
    restarted.on_peer_queried(address(2), at(0));
    restarted.on_all_queried();
    restarted.on_peer_reply(address(1), high, true);
    assert!(
        !restarted.evaluate(high, at(2_999)),
        "a peer has not answered yet"
    );
    assert!(
        !restarted.evaluate(low, at(3_000)),
        "a peer has a higher version"
    );
    assert!(restarted.evaluate(high, at(3_000)));
    let mut isolated = ReadinessState::new(at(0));
    isolated.on_all_queried();
    assert!(!isolated.evaluate(low, at(60_000)), "no peer answered");
    isolated.on_platform_read(low);
    assert!(isolated.evaluate(low, at(60_000)));
    isolated.on_pause(at(90_000));
    assert!(!isolated.ready() && !isolated.evaluate(low, at(95_000)));
    isolated.on_peer_reply(address(1), low, false);
    assert!(isolated.evaluate(low, at(95_000)));
    restarted.on_pause(at(90_000));
    restarted.on_peer_reply(address(1), high, false);
    assert!(
        !restarted.evaluate(high, at(90_001)),
        "two resumed nodes verified each other"
    );
    restarted.on_peer_reply(address(2), high, true);
    assert!(restarted.evaluate(high, at(90_002)));
}

/// Guards against verifying a version by a read that started before a pause, or over a link from
/// before it.
#[test]
fn pause_discards_what_was_in_flight() {
    let (mut rng, at) = (StdRng::seed_from_u64(1), ClockTime);
    let mut node = control(1, "bangna", "central", &[]);
    let reads = |actions: &Actions| {
        actions
            .iter()
            .any(|action| matches!(action, ControlAction::ReadManifest { .. }))
    };
    assert!(reads(&node.on_tick(at(5_000), &mut rng)));
    let value = ConfigRead::Value {
        revision: 1,
        bytes: published(3, &[1]).into(),
    };
    node.on_manifest_read(Ok(value), at(5_010));
    assert!(node.ready());
    node.on_link_up(address(2), at(5_020));
    assert!((0..200).any(|n| reads(&node.on_tick(at(16_000 + n * 100), &mut rng))));
    let actions = node.on_pause(at(60_000));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, ControlAction::ReadyChanged(false)))
    );
    node.on_manifest_read(Ok(ConfigRead::Unchanged), at(60_001));
    let hello = NodeHello {
        member: member(2, "bangna", "central"),
        stamp: node.versions().stamp(),
        ready: true,
    };
    node.on_message(address(2), ControlMessage::Hello(hello), at(60_002));
    assert!(!node.ready());
    assert!((0..100).any(|n| reads(&node.on_tick(at(60_100 + n * 100), &mut rng))));
    node.on_manifest_read(Ok(ConfigRead::Unchanged), at(71_000));
    assert!(node.ready());
}

/// Guards against a version observed in a call that is never fetched, or fetched more than once.
#[test]
fn newer_stamp_is_fetched_once() {
    let (mut rng, at) = (StdRng::seed_from_u64(2), ClockTime);
    let mut node = control(1, "bangna", "central", &[]);
    let stamp = manifest(3, &[1]).stamp();
    let requests = |actions: &Actions| -> Vec<NodeAddress> {
        let to = |action: &ControlAction| match action {
            ControlAction::Send {
                to,
                message: ControlMessage::IndexRequest(_),
            } => Some(*to),
            _ => None,
        };
        actions.iter().filter_map(to).collect()
    };
    for port in [2, 3] {
        node.on_link_up(address(port), at(0));
        let hello = NodeHello {
            member: member(port, "bangna", "central"),
            stamp,
            ready: true,
        };
        let actions = node.on_message(address(port), ControlMessage::Hello(hello), at(0));
        assert_eq!(requests(&actions).len(), usize::from(port == 2));
    }
    assert!(requests(&node.on_stamp_seen(address(3), stamp, at(500))).is_empty());
    assert!(requests(&node.on_tick(at(999), &mut rng)).is_empty());
    assert_eq!(requests(&node.on_tick(at(1_000), &mut rng)), [address(3)]);
}

/// Guards against an announced version that is never requested, and against requesting one that
/// arrives from another node in the meantime.
#[test]
fn announced_version_is_asked_for_only_if_it_does_not_arrive() {
    let at = ClockTime;
    let (old, new) = (manifest(1, &[1]), manifest(2, &[2]));
    for delta_arrives in [false, true] {
        let mut rng = StdRng::seed_from_u64(5);
        let mut node = control(1, "bangna", "central", &[]);
        let (revision, bytes) = (1, published(1, &[1]).into());
        node.on_manifest_read(Ok(ConfigRead::Value { revision, bytes }), at(0));
        for port in [2, 3] {
            node.on_link_up(address(port), at(0));
            let hello = NodeHello {
                member: member(port, "bangna", "central"),
                stamp: old.stamp(),
                ready: true,
            };
            node.on_message(address(port), ControlMessage::Hello(hello), at(0));
        }
        let announced = ControlMessage::Announce(new.stamp());
        let requests_index = |action: &ControlAction| match action {
            ControlAction::Send { to, message } => {
                matches!(message, ControlMessage::IndexRequest(_)) && *to == address(2)
            }
            _ => false,
        };
        let actions = node.on_message(address(2), announced, at(100));
        assert!(!actions.iter().any(requests_index), "requested immediately");
        if delta_arrives {
            let delta = ControlMessage::Delta(old.delta_to(&new));
            node.on_message(address(3), delta, at(150));
        }
        let actions = node.on_tick(at(200), &mut rng);
        assert_eq!(actions.iter().any(requests_index), !delta_arrives);
        assert_eq!(node.versions().stamp() == new.stamp(), delta_arrives);
    }
}

/// Guards against sending a peer the same inapplicable delta again after an earlier one was lost.
#[test]
fn lost_change_is_repaired_by_the_index() {
    let (at, port) = (ClockTime, address(2));
    let mut node = control(1, "bangna", "central", &[]);
    let publish = |node: &mut ControlState, number| {
        let bytes = published(number, &[number as u32, 1]).into();
        let value = ConfigRead::Value {
            revision: number,
            bytes,
        };
        node.on_manifest_read(Ok(value), at(number))
    };
    publish(&mut node, 1);
    node.on_link_up(port, at(1));
    let hello = NodeHello {
        member: member(2, "bangna", "central"),
        stamp: node.versions().stamp(),
        ready: true,
    };
    node.on_message(port, ControlMessage::Hello(hello), at(1));
    let mut peer = tracker_with(&published(1, &[1, 1]));
    let sent = |actions: Actions| {
        let message = |action| match action {
            ControlAction::Send { message, .. } => Some(message),
            _ => None,
        };
        actions.into_iter().find_map(message)
    };
    publish(&mut node, 2);
    let Some(ControlMessage::Delta(delta)) = sent(publish(&mut node, 3)) else {
        panic!("no delta was sent");
    };
    assert_eq!(delta.from, manifest(2, &[2, 1]).stamp());
    assert!(matches!(peer.offer_delta(&delta), OfferOutcome::NeedIndex));
    let request = ControlMessage::IndexRequest(delta.to);
    let answer = sent(node.on_message(port, request, at(4)));
    assert!(matches!(answer, Some(ControlMessage::Index { stamp, .. }) if stamp == delta.to));
}

/// Guards against links that leave a zone partitioned, or whose number is not bounded.
#[test]
fn links_keep_a_zone_connected() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut table = MemberTable::new(member(1, "bangna", "central"));
    for port in 2..=200 {
        table.merge(
            &member(port, "bangna", "central"),
            address(port),
            false,
            ClockTime(0),
        );
    }
    let unreachable: BTreeSet<_> = (150..=200).map(address).collect();
    let mut edges: BTreeMap<NodeAddress, Vec<NodeAddress>> = BTreeMap::new();
    for port in 1..150 {
        let (mut set, own) = (NeighborSet::default(), member(port, "bangna", "central"));
        let (view, mut up) = (FleetView::new(&table, &own), BTreeSet::new());
        for now in (0..30_000).step_by(250).map(ClockTime) {
            for change in set.plan(&view, &own.region, &[], false, now, &mut rng) {
                match change {
                    LinkChange::Open(peer) if unreachable.contains(&peer) => {
                        set.on_link_down(&peer, now, &mut rng);
                    }
                    LinkChange::Open(peer) => up.extend(set.on_link_up(peer, now).then_some(peer)),
                    LinkChange::Close(peer) => up.retain(|held| *held != peer),
                }
            }
        }
        assert!((4..=16).contains(&up.len()), "{} links", up.len());
        for peer in up {
            edges.entry(own.address).or_default().push(peer);
            edges.entry(peer).or_default().push(own.address);
        }
    }
    let (mut visited, mut pending) = (BTreeSet::new(), vec![address(1)]);
    while let Some(node) = pending.pop() {
        if visited.insert(node) {
            pending.extend(&edges[&node]);
        }
    }
    assert_eq!(visited.len(), 149);
}

/// Simulates a few nodes whose messages are lost, duplicated and reordered.
struct NodeCluster {
    nodes: Vec<ControlState>,
    events: BTreeMap<(u64, u64), Event>,
    installed: Vec<Vec<VersionStamp>>,
    published: (u64, Vec<u8>),
    loss: f64,
    now: u64,
    sequence: u64,
    rng: StdRng,
}

#[derive(Clone)]
enum Event {
    Up(usize, usize),
    Down(usize, usize),
    Message(usize, usize, ControlMessage),
    Manifest(usize, Option<u64>),
    Instances(usize),
}

impl NodeCluster {
    const PORTS: u16 = 100;

    fn new(seed: u64, loss: f64) -> Self {
        let places = [
            ("bangna", "central"),
            ("ladkrabang", "central"),
            ("hangdong", "north"),
        ];
        let node = |n: u16| {
            let (zone, region) = places[n as usize % 3];
            control(
                Self::PORTS + n,
                zone,
                region,
                &[Self::PORTS, Self::PORTS + 1],
            )
        };
        Self {
            nodes: (0..12).map(node).collect(),
            events: BTreeMap::new(),
            installed: vec![Vec::new(); 12],
            published: (1, published(1, &[1; 4])),
            loss,
            now: 0,
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn perform(&mut self, node: usize, actions: Actions) {
        let index = |to: NodeAddress| usize::from(to.0.port() - Self::PORTS);
        for action in actions {
            let delay = self.rng.random_range(1..200);
            let lost = self.rng.random_bool(self.loss);
            match action {
                ControlAction::Send { to, message } => {
                    let event = Event::Message(node, index(to), message);
                    if self.rng.random_bool(self.loss) {
                        self.schedule(delay + 50, event.clone());
                    }
                    if !lost {
                        self.schedule(delay, event);
                    }
                }
                ControlAction::Open { to } if lost => {
                    self.schedule(delay, Event::Down(index(to), node));
                }
                ControlAction::Open { to } => {
                    self.schedule(delay, Event::Up(node, index(to)));
                    self.schedule(delay, Event::Up(index(to), node));
                }
                ControlAction::Close { to } => self.schedule(delay, Event::Down(node, index(to))),
                ControlAction::ReadManifest { after, wait } => {
                    let wait = if after == Some(self.published.0) {
                        wait.0
                    } else {
                        0
                    };
                    self.schedule(wait + 5, Event::Manifest(node, after));
                }
                ControlAction::ReadInstances { .. } => self.schedule(3_000, Event::Instances(node)),
                ControlAction::Install(manifest) => self.installed[node].push(manifest.stamp()),
                _ => {}
            }
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            let next = self.events.first_key_value().map(|(key, _)| *key);
            if let Some(key) = next.filter(|key| key.0 <= self.now) {
                let event = self.events.remove(&key).unwrap();
                self.deliver(event);
                continue;
            }
            if self.now.is_multiple_of(100) {
                for node in 0..self.nodes.len() {
                    let actions = self.nodes[node].on_tick(ClockTime(self.now), &mut self.rng);
                    self.perform(node, actions);
                }
            }
            self.now += 1;
        }
    }

    fn deliver(&mut self, event: Event) {
        let now = ClockTime(self.now);
        let address = |n: usize| address(Self::PORTS + n as u16);
        let (node, actions) = match event {
            Event::Up(from, to) => (to, self.nodes[to].on_link_up(address(from), now)),
            Event::Down(from, to) => {
                self.nodes[to].on_link_down(address(from), now, &mut self.rng);
                return;
            }
            Event::Message(from, to, message) => {
                (to, self.nodes[to].on_message(address(from), message, now))
            }
            Event::Manifest(node, after) => {
                let (revision, bytes) = self.published.clone();
                let read = match after {
                    Some(held) if held == revision => ConfigRead::Unchanged,
                    _ => ConfigRead::Value {
                        revision,
                        bytes: bytes.into(),
                    },
                };
                (node, self.nodes[node].on_manifest_read(Ok(read), now))
            }
            Event::Instances(node) => (node, self.nodes[node].on_instances_read(Ok(None), now)),
        };
        self.perform(node, actions);
    }
}

/// Guards against nodes that stay on different versions or regress while messages are lost,
/// duplicated and reordered, versions conflict, the platform returns older versions, and a node
/// pauses.
#[test]
fn exchange_converges() {
    for (seed, loss) in [(1, 0.0), (2, 0.1), (3, 0.2), (4, 0.2), (5, 0.3)] {
        let mut cluster = NodeCluster::new(seed, loss);
        cluster.run(15_000);
        let mut highest = VersionStamp::default();
        for revision in 2..22 {
            let number = cluster.rng.random_range(revision / 2..=revision);
            let slots: Vec<_> = (0..4).map(|_| cluster.rng.random_range(1..4)).collect();
            cluster.published = (revision, published(number, &slots));
            let pause = cluster.rng.random_range(0..12);
            let until = cluster.now + cluster.rng.random_range(300..3_500);
            cluster.run(until);
            if revision % 4 == 0 {
                let actions = cluster.nodes[pause].on_pause(ClockTime(cluster.now));
                cluster.perform(pause, actions);
            }
        }
        cluster.run(cluster.now + 20_000);
        for (node, stamps) in cluster.nodes.iter().zip(&cluster.installed) {
            assert!(
                stamps.is_sorted(),
                "seed {seed}: a node regressed to an older version"
            );
            highest = highest.max(node.versions().stamp());
        }
        let held: Vec<_> = cluster
            .nodes
            .iter()
            .map(|node| node.versions().stamp().number)
            .collect();
        assert!(
            cluster
                .nodes
                .iter()
                .all(|node| node.versions().stamp() == highest),
            "seed {seed}: {held:?}"
        );
        let ready: Vec<_> = cluster.nodes.iter().map(ControlState::ready).collect();
        assert_eq!(ready, [true; 12], "seed {seed}");
        let applied = cluster.nodes.iter().map(|node| {
            let entries = node.applied().entries();
            entries.filter(|(_, stamp)| *stamp == highest).count()
        });
        // Reports are not resent on a link: a real link delivers every message or closes.
        assert!(
            loss > 0.0 || applied.collect::<Vec<_>>() == [4; 12],
            "seed {seed}"
        );
        assert_eq!(
            cluster.nodes[0].members().present().count(),
            12,
            "seed {seed}"
        );
    }
}
