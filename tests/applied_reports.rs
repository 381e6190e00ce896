//! Reports of applied versions, exchanged within a zone while versions change.

use std::collections::{BTreeMap, BTreeSet};

use endivelanding::distribution::AppliedSet;
use endivelanding::id::{NodeAddress, NodeIncarnation};
use endivelanding::version::{ContentDigest, VersionStamp};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

type Groups = BTreeMap<VersionStamp, Vec<NodeAddress>>;

fn address(node: usize) -> NodeAddress {
    format!("127.0.{}.{}:7000", node / 250, node % 250)
        .parse()
        .unwrap()
}

fn stamp(number: u64) -> VersionStamp {
    VersionStamp {
        number,
        digest: ContentDigest([number as u8; 16]),
    }
}

fn first_incarnation(_: &NodeAddress) -> Option<NodeIncarnation> {
    Some(NodeIncarnation(1))
}

/// A zone in which each node reports to its successor in a ring and to a random node, both of which
/// report back.
struct Zone {
    sets: Vec<AppliedSet>,
    links: BTreeSet<(usize, usize)>,
    ids: usize,
}

impl Zone {
    fn new(nodes: usize, rng: &mut StdRng) -> Self {
        let mut links = BTreeSet::new();
        for node in 0..nodes {
            for other in [(node + 1) % nodes, rng.random_range(0..nodes)] {
                if other != node {
                    links.extend([(node, other), (other, node)]);
                }
            }
        }
        Self {
            sets: (0..nodes)
                .map(|node| AppliedSet::new(address(node)))
                .collect(),
            links,
            ids: 0,
        }
    }

    /// Sends pending reports once on each link, so that they advance by one hop.
    fn round(&mut self) {
        let mut sent = Vec::new();
        for (from, to) in &self.links {
            let groups = self.sets[*from].take_unsent(address(*to));
            sent.push((*from, *to, groups));
        }
        for (from, to, groups) in sent {
            self.deliver(from, to, &groups);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, groups: &Groups) {
        for (stamp, nodes) in groups {
            self.ids += nodes.len();
            self.sets[to].record(*stamp, nodes, address(from), first_incarnation);
        }
    }

    /// Counts the nodes that `node` knows to have applied this version or a newer one.
    fn known(&self, node: usize, stamp: VersionStamp) -> usize {
        let entries = self.sets[node].entries();
        entries.filter(|(_, applied)| *applied >= stamp).count()
    }
}

/// Guards against versions that are never confirmed because the next one is published before their
/// reports have crossed the zone, and against reports sent more than once on a link.
#[test]
fn each_version_is_confirmed_while_versions_change() {
    const NODES: usize = 60;
    const ROUNDS: usize = 12;
    for (seed, interval) in [(1, 1), (2, 2), (3, 3), (4, 5)] {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut zone = Zone::new(NODES, &mut rng);
        for round in 0_usize..60 {
            if round % interval == 0 {
                let number = (round / interval + 1) as u64;
                zone.sets
                    .iter_mut()
                    .for_each(|set| set.record_own(stamp(number)));
            }
            zone.round();
            let Some(start) = (round + 1).checked_sub(ROUNDS) else {
                continue;
            };
            let expected = stamp((start / interval + 1) as u64);
            for node in 0..NODES {
                let known = zone.known(node, expected);
                assert_eq!(known, NODES, "seed {seed}: node {node} in round {round}");
            }
        }
        // Between two linked nodes, each id is sent in one direction, or in both simultaneously.
        let most = zone.links.len() / 2 * NODES * (60 / interval);
        assert!(zone.ids * 3 <= most * 4, "seed {seed}: {} ids", zone.ids);
        for _ in 0..ROUNDS {
            zone.round();
        }
        let before = zone.ids;
        zone.round();
        assert_eq!(zone.ids, before, "seed {seed}: reports were sent again");
    }
}

/// Guards against reports returned to their sender or lost with a link, versions that a node did
/// not apply itself, and entries of nodes that left or restarted.
#[test]
fn entries_follow_links_and_members() {
    let [own, peer, other] = [0, 1, 2].map(address);
    let mut set = AppliedSet::new(own);
    set.record(stamp(9), &[own, other], peer, first_incarnation);
    set.record_own(stamp(7));
    let entries = |set: &AppliedSet| set.entries().collect::<Vec<_>>();
    assert_eq!(entries(&set), [(own, stamp(7)), (other, stamp(9))]);
    assert_eq!(set.take_unsent(peer), Groups::from([(stamp(7), vec![own])]));
    assert_eq!(set.take_unsent(peer), Groups::new());
    let all = Groups::from([(stamp(7), vec![own]), (stamp(9), vec![other])]);
    let third = address(3);
    assert_eq!(set.take_unsent(third), all);
    set.record(stamp(8), &[other], third, first_incarnation);
    assert_eq!(
        set.take_unsent(third),
        Groups::new(),
        "an older report was forwarded"
    );
    set.reset_peer(&peer);
    assert_eq!(
        set.take_unsent(peer),
        all,
        "reports were not sent again on a new link"
    );
    // A node that refutes a claim increases its incarnation by 1 and keeps its version.
    set.prune(|_| Some(NodeIncarnation(2)));
    assert_eq!(set.entries().count(), 2);
    let restarted = |_: &NodeAddress| Some(NodeIncarnation(5_000));
    let mut table_first = set.clone();
    table_first.record(stamp(7), &[other], peer, restarted);
    table_first.prune(restarted);
    assert_eq!(entries(&table_first), [(own, stamp(7)), (other, stamp(7))]);
    set.prune(restarted);
    assert_eq!(entries(&set), [(own, stamp(7))]);
    set.record(stamp(7), &[other], peer, |_| None);
    set.prune(|_| None);
    assert_eq!(
        set.entries().count(),
        2,
        "a report before its member entry was lost"
    );
    set.prune(first_incarnation);
    set.prune(|_| None);
    assert_eq!(
        entries(&set),
        [(own, stamp(7))],
        "a node that left was retained"
    );
    for node in 0..20_000 {
        let address = format!("10.0.{}.{}:1", node / 250, node % 250);
        set.record(stamp(7), &[address.parse().unwrap()], peer, |_| None);
    }
    assert!(set.entries().count() <= 8_192);
    set.record_own(stamp(8));
    assert!(entries(&set).contains(&(own, stamp(8))));
}
