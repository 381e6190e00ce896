use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::ClockTime;
use crate::distribution::FleetView;
use crate::id::{NodeAddress, RegionName, ZoneName};

/// Links to the next nodes of the zone's ring; they keep the graph of the zone connected.
const RING_LINKS: usize = 2;
/// Links to random nodes of the zone; they keep the number of rounds small.
const RANDOM_LINKS: usize = 2;
/// Nodes of a region that hold links to other regions.
const REGION_HOLDERS: usize = 2;
/// Largest number of links, with those that others opened.
const MAX_LINKS: usize = 32;
/// First and longest limit of the jittered wait before a reconnection, in ms.
const BACKOFF: (u64, u64) = (100, 10_000);
/// Time after which an attempt to open a link counts as failed.
const OPEN_TIMEOUT: ClockTime = ClockTime(5_000);
/// Time that a link must be up before its earlier failures are forgotten.
const STABLE_TIME: ClockTime = ClockTime(10_000);
/// Time that a link is held to fetch a version that a call named.
const FETCH_TIME: ClockTime = ClockTime(10_000);
/// Number of chosen links below which a change is sent on every link.
const FEW_LINKS: usize = 3;
/// Failed peers remembered.
const MAX_FAILURES: usize = 256;

/// Decides which links to open and close.
#[derive(Debug, Clone, Default)]
pub struct NeighborSet {
    picks: BTreeMap<LinkPurpose, NodeAddress>,
    successor: Option<NodeAddress>,
    links: BTreeMap<NodeAddress, LinkRecord>,
    failures: BTreeMap<NodeAddress, FailureRecord>,
    /// Failures by purpose; they keep a node from trying every node of a part that is cut off.
    strikes: BTreeMap<LinkPurpose, FailureRecord>,
    fetch: Option<(NodeAddress, ClockTime)>,
    wanted: BTreeSet<NodeAddress>,
}

/// States a change of the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// A link is to be opened.
    Open(NodeAddress),
    /// A link is to be closed.
    Close(NodeAddress),
}

/// Names what a random choice is for; the choice is kept while its peer works.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum LinkPurpose {
    Zone(usize),
    Seed(usize),
    OtherZone,
    StartZone(ZoneName),
    Region(RegionName),
}

#[derive(Debug, Clone)]
struct LinkRecord {
    up: bool,
    own: bool,
    since: ClockTime,
}

#[derive(Debug, Clone, Default)]
struct FailureRecord {
    count: u32,
    retry_at: ClockTime,
}

impl NeighborSet {
    /// Returns what to open and close now.
    ///
    /// `starting` adds a link to every other zone, because a node that starts asks one node of
    /// each. `seeds` are used while no other node is known or no link is up.
    pub fn plan<Random>(
        &mut self,
        view: &FleetView,
        region: &RegionName,
        seeds: &[NodeAddress],
        starting: bool,
        now: ClockTime,
        rng: &mut Random,
    ) -> Vec<LinkChange>
    where
        Random: Rng + ?Sized,
    {
        let late = |link: &LinkRecord| !link.up && now - link.since >= OPEN_TIMEOUT;
        let late = self.filter_links(|_, link| late(link));
        for peer in &late {
            self.on_link_down(peer, now, rng);
        }
        let mut changes: Vec<_> = late.into_iter().map(LinkChange::Close).collect();
        let wanted = self.choose(view, region, seeds, starting, now, rng);
        let up = |peer: &NodeAddress| self.links.get(peer).is_some_and(|link| link.up);
        // A link is closed only when its replacements are up, unless there are too many.
        if wanted.iter().all(up) || self.links.len() > MAX_LINKS / 2 {
            for peer in self.filter_links(|peer, link| link.own && !wanted.contains(peer)) {
                self.links.remove(&peer);
                changes.push(LinkChange::Close(peer));
            }
        }
        self.wanted.clone_from(&wanted);
        for peer in wanted {
            if !self.links.contains_key(&peer) && self.usable(&peer, now) {
                let link = LinkRecord {
                    up: false,
                    own: true,
                    since: now,
                };
                self.links.insert(peer, link);
                changes.push(LinkChange::Open(peer));
            }
        }
        changes
    }

    /// Returns whether this node reports to the peer which nodes have a version in force.
    ///
    /// Reports go over the next link of the ring and one random link only. Over all links each id
    /// would be sent about four times as often, which exceeds the byte budget of a node.
    #[must_use]
    pub fn reports_to(&self, peer: &NodeAddress) -> bool {
        let random = self.picks.get(&LinkPurpose::Zone(0));
        self.successor.as_ref() == Some(peer) || random == Some(peer)
    }

    /// Returns whether a change is sent to the peer at once, instead of an announcement.
    ///
    /// Changes go over the links that this node chose. Those that others chose would bring each
    /// node about twice as many copies.
    #[must_use]
    pub fn pushes_to(&self, peer: &NodeAddress) -> bool {
        self.wanted.len() < FEW_LINKS || self.wanted.contains(peer)
    }

    /// Asks for a link to a peer that has a version this node lacks.
    pub fn want(&mut self, peer: NodeAddress, now: ClockTime) {
        self.fetch = Some((peer, now + FETCH_TIME));
    }

    /// Asks for a link to a peer to learn whether it lives, unless one is held to fetch a version.
    pub fn probe(&mut self, peer: NodeAddress, now: ClockTime) {
        if self.fetch.is_none_or(|(_, until)| now >= until) {
            self.want(peer, now);
        }
    }

    /// Records a link and returns whether there is room for it.
    pub fn on_link_up(&mut self, peer: NodeAddress, now: ClockTime) -> bool {
        let own = self.links.get(&peer).is_some_and(|link| link.own);
        if !own && self.links.len() >= MAX_LINKS {
            return false;
        }
        let link = LinkRecord {
            up: true,
            own,
            since: now,
        };
        self.links.insert(peer, link);
        let picks = &self.picks;
        self.strikes
            .retain(|purpose, _| picks.get(purpose) != Some(&peer));
        true
    }

    /// Records that a link closed or could not be opened.
    pub fn on_link_down<Random>(&mut self, peer: &NodeAddress, now: ClockTime, rng: &mut Random)
    where
        Random: Rng + ?Sized,
    {
        let Some(link) = self.links.remove(peer) else {
            return;
        };
        let stable = link.up && now - link.since >= STABLE_TIME;
        let failed = |held: Option<&FailureRecord>, rng: &mut Random| {
            let count = held.filter(|_| !stable).map_or(0, |failure| failure.count);
            let limit = (BACKOFF.0 << count.min(10)).min(BACKOFF.1);
            FailureRecord {
                count: count + 1,
                retry_at: now + ClockTime(rng.random_range(0..=limit)),
            }
        };
        for (purpose, _) in self.picks.iter().filter(|(_, pick)| *pick == peer) {
            let strike = failed(self.strikes.get(purpose), rng);
            self.strikes.insert(purpose.clone(), strike);
        }
        if self.failures.len() >= MAX_FAILURES {
            self.failures.retain(|_, failure| failure.retry_at > now);
        }
        if self.failures.len() < MAX_FAILURES {
            let failure = failed(self.failures.get(peer), rng);
            self.failures.insert(*peer, failure);
        }
    }

    /// Forgets every link and failure after a pause and returns the peers to close.
    pub fn reset(&mut self) -> Vec<NodeAddress> {
        self.failures.clear();
        self.strikes.clear();
        std::mem::take(&mut self.links).into_keys().collect()
    }

    fn filter_links<Test>(&self, test: Test) -> Vec<NodeAddress>
    where
        Test: Fn(&NodeAddress, &LinkRecord) -> bool,
    {
        let matching = self.links.iter().filter(|(peer, link)| test(peer, link));
        matching.map(|(peer, _)| *peer).collect()
    }

    fn choose<Random>(
        &mut self,
        view: &FleetView,
        region: &RegionName,
        seeds: &[NodeAddress],
        starting: bool,
        now: ClockTime,
        rng: &mut Random,
    ) -> BTreeSet<NodeAddress>
    where
        Random: Rng + ?Sized,
    {
        let working = view.ring.iter().filter(|peer| self.usable(peer, now));
        let mut wanted: BTreeSet<_> = working.take(RING_LINKS).copied().collect();
        self.successor = view
            .ring
            .iter()
            .find(|peer| self.usable(peer, now))
            .copied();
        let mut wishes: Vec<(LinkPurpose, Vec<NodeAddress>)> = Vec::new();
        for place in 0..RANDOM_LINKS {
            wishes.push((LinkPurpose::Zone(place), view.ring.clone()));
        }
        let mut near = Vec::new();
        let mut far: BTreeMap<&RegionName, Vec<NodeAddress>> = BTreeMap::new();
        for (zone, other) in &view.zones {
            if other.region == *region {
                near.extend_from_slice(&other.nodes);
            } else if view.region_rank < REGION_HOLDERS {
                far.entry(&other.region).or_default().extend(&other.nodes);
            }
            if starting {
                wishes.push((LinkPurpose::StartZone(zone.clone()), other.nodes.clone()));
            }
        }
        wishes.push((LinkPurpose::OtherZone, near));
        for (name, nodes) in far {
            wishes.push((LinkPurpose::Region(name.clone()), nodes));
        }
        if view.fleet <= 1 || !self.links.values().any(|link| link.up) {
            for place in 0..RING_LINKS + RANDOM_LINKS {
                wishes.push((LinkPurpose::Seed(place), seeds.to_vec()));
            }
        }
        let held = std::mem::take(&mut self.picks);
        for (purpose, mut nodes) in wishes {
            let resting = self
                .strikes
                .get(&purpose)
                .is_some_and(|strike| now < strike.retry_at);
            if resting {
                continue;
            }
            nodes.retain(|peer| !wanted.contains(peer) && self.usable(peer, now));
            let kept = held.get(&purpose).filter(|peer| nodes.contains(peer));
            if let Some(peer) = kept.or_else(|| nodes.choose(rng)) {
                wanted.insert(*peer);
                self.picks.insert(purpose, *peer);
            }
        }
        self.fetch = self.fetch.filter(|(_, until)| now < *until);
        wanted.extend(self.fetch.map(|(peer, _)| peer));
        wanted
    }

    /// Returns whether a peer works or may be tried again.
    fn usable(&self, peer: &NodeAddress, now: ClockTime) -> bool {
        let up = self.links.get(peer).is_some_and(|link| link.up);
        let due = |failure: &FailureRecord| now >= failure.retry_at;
        up || self.failures.get(peer).is_none_or(due)
    }
}
