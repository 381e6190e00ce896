use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::ClockTime;
use crate::distribution::FleetView;
use crate::id::{NodeAddress, RegionName, ZoneName};

/// Number of links to the next nodes in the ring of the zone, which keep the zone connected.
const RING_LINKS: usize = 2;
/// Number of links to random nodes of the zone, which keep the number of gossip rounds small.
const RANDOM_LINKS: usize = 2;
/// Number of nodes per region that maintain links to other regions.
const GATEWAYS_PER_REGION: usize = 2;
/// Maximum number of links, including those opened by peers.
const MAX_LINKS: usize = 32;
/// Initial and maximum value of the upper bound of the jittered delay before a reconnection, in ms.
const BACKOFF_MS: (u64, u64) = (100, 10_000);
/// Time after which an attempt to open a link is considered failed.
const OPEN_TIMEOUT: ClockTime = ClockTime(5_000);
/// Time for which a link must be up before earlier failures of its peer are disregarded.
const STABLE_LINK_TIME: ClockTime = ClockTime(10_000);
/// Time for which a link is kept open to fetch a version or to probe a peer.
const REQUESTED_LINK_TIME: ClockTime = ClockTime(10_000);
/// Number of selected links below which deltas are sent on every link.
const PUSH_ALL_BELOW_LINKS: usize = 3;
/// Maximum number of failed peers retained.
const MAX_FAILURES: usize = 256;

/// The peers to which a node maintains links, and their selection.
#[derive(Debug, Clone, Default)]
pub struct NeighborSet {
    selected: BTreeMap<LinkPurpose, NodeAddress>,
    successor: Option<NodeAddress>,
    links: BTreeMap<NodeAddress, LinkRecord>,
    failures: BTreeMap<NodeAddress, FailureRecord>,
    /// Failures by purpose. Their backoff keeps a node from trying every node of an unreachable
    /// part of the fleet in turn.
    purpose_failures: BTreeMap<LinkPurpose, FailureRecord>,
    requested: Option<(NodeAddress, ClockTime)>,
    desired: BTreeSet<NodeAddress>,
}

/// A change to the set of links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// Opens a link to the peer.
    Open(NodeAddress),
    /// Closes the link to the peer.
    Close(NodeAddress),
}

/// Purpose of a randomly selected peer; the selection is kept while the peer is usable.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum LinkPurpose {
    Zone(usize),
    Seed(usize),
    OtherZone,
    StartZone(ZoneName),
    Region(RegionName),
}

/// A link that is established or being opened.
#[derive(Debug, Clone)]
struct LinkRecord {
    /// Whether the link is established; false while it is being opened.
    up: bool,
    /// Whether this node opened the link.
    opened_locally: bool,
    /// Time at which the link was opened or came up.
    since: ClockTime,
}

/// Consecutive link failures.
#[derive(Debug, Clone, Default)]
struct FailureRecord {
    count: u32,
    retry_at: ClockTime,
}

impl NeighborSet {
    /// Returns the links to open and close.
    ///
    /// `starting` adds a link to every other zone, because a starting node queries one node of
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
        let timed_out = |link: &LinkRecord| !link.up && now - link.since >= OPEN_TIMEOUT;
        let timed_out = self.filter_links(|_, link| timed_out(link));
        for peer in &timed_out {
            self.on_link_down(peer, now, rng);
        }
        let mut changes: Vec<_> = timed_out.into_iter().map(LinkChange::Close).collect();
        let desired = self.select_peers(view, region, seeds, starting, now, rng);
        let up = |peer: &NodeAddress| self.links.get(peer).is_some_and(|link| link.up);
        // Links are closed only once their replacements are up, unless there are too many links.
        if desired.iter().all(up) || self.links.len() > MAX_LINKS / 2 {
            for peer in
                self.filter_links(|peer, link| link.opened_locally && !desired.contains(peer))
            {
                self.links.remove(&peer);
                changes.push(LinkChange::Close(peer));
            }
        }
        self.desired.clone_from(&desired);
        for peer in desired {
            if !self.links.contains_key(&peer) && self.usable(&peer, now) {
                let link = LinkRecord {
                    up: false,
                    opened_locally: true,
                    since: now,
                };
                self.links.insert(peer, link);
                changes.push(LinkChange::Open(peer));
            }
        }
        changes
    }

    /// Returns whether reports of applied versions are sent to the peer.
    ///
    /// Reports are sent only to the next node of the ring and one random peer. Over all links, each
    /// node id would be sent about four times as often, which exceeds the byte budget of a node.
    #[must_use]
    pub fn reports_to(&self, peer: &NodeAddress) -> bool {
        let random = self.selected.get(&LinkPurpose::Zone(0));
        self.successor.as_ref() == Some(peer) || random == Some(peer)
    }

    /// Returns whether a new version is sent to the peer immediately, instead of an announcement.
    ///
    /// Versions are sent on the links that this node selected. Sending them on the links selected
    /// by peers as well would deliver about twice as many copies to each node.
    #[must_use]
    pub fn pushes_to(&self, peer: &NodeAddress) -> bool {
        self.desired.len() < PUSH_ALL_BELOW_LINKS || self.desired.contains(peer)
    }

    /// Requests a link to a peer that has a newer version.
    pub fn request_link(&mut self, peer: NodeAddress, now: ClockTime) {
        self.requested = Some((peer, now + REQUESTED_LINK_TIME));
    }

    /// Requests a link to a peer to determine whether the peer is live, unless another requested
    /// link is in use.
    pub fn probe(&mut self, peer: NodeAddress, now: ClockTime) {
        if self.requested.is_none_or(|(_, until)| now >= until) {
            self.request_link(peer, now);
        }
    }

    /// Records an established link; returns false if the maximum number of links is reached.
    pub fn on_link_up(&mut self, peer: NodeAddress, now: ClockTime) -> bool {
        let opened_locally = self
            .links
            .get(&peer)
            .is_some_and(|link| link.opened_locally);
        if !opened_locally && self.links.len() >= MAX_LINKS {
            return false;
        }
        let link = LinkRecord {
            up: true,
            opened_locally,
            since: now,
        };
        self.links.insert(peer, link);
        let selected = &self.selected;
        self.purpose_failures
            .retain(|purpose, _| selected.get(purpose) != Some(&peer));
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
        let stable = link.up && now - link.since >= STABLE_LINK_TIME;
        let failed = |previous: Option<&FailureRecord>, rng: &mut Random| {
            let count = previous
                .filter(|_| !stable)
                .map_or(0, |failure| failure.count);
            let limit = (BACKOFF_MS.0 << count.min(10)).min(BACKOFF_MS.1);
            FailureRecord {
                count: count + 1,
                retry_at: now + ClockTime(rng.random_range(0..=limit)),
            }
        };
        for (purpose, _) in self
            .selected
            .iter()
            .filter(|(_, selected)| *selected == peer)
        {
            let failure = failed(self.purpose_failures.get(purpose), rng);
            self.purpose_failures.insert(purpose.clone(), failure);
        }
        if self.failures.len() >= MAX_FAILURES {
            self.failures.retain(|_, failure| failure.retry_at > now);
        }
        if self.failures.len() < MAX_FAILURES {
            let failure = failed(self.failures.get(peer), rng);
            self.failures.insert(*peer, failure);
        }
    }

    /// Discards all links and failures after a pause and returns the peers whose links must be
    /// closed.
    pub fn reset(&mut self) -> Vec<NodeAddress> {
        self.failures.clear();
        self.purpose_failures.clear();
        std::mem::take(&mut self.links).into_keys().collect()
    }

    fn filter_links<Test>(&self, test: Test) -> Vec<NodeAddress>
    where
        Test: Fn(&NodeAddress, &LinkRecord) -> bool,
    {
        let matching = self.links.iter().filter(|(peer, link)| test(peer, link));
        matching.map(|(peer, _)| *peer).collect()
    }

    /// Selects the peers to which links should exist, keeping earlier selections that are usable.
    fn select_peers<Random>(
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
        let usable_ring = view.ring.iter().filter(|peer| self.usable(peer, now));
        let mut desired: BTreeSet<_> = usable_ring.take(RING_LINKS).copied().collect();
        self.successor = view
            .ring
            .iter()
            .find(|peer| self.usable(peer, now))
            .copied();
        let mut candidates: Vec<(LinkPurpose, Vec<NodeAddress>)> = Vec::new();
        for index in 0..RANDOM_LINKS {
            candidates.push((LinkPurpose::Zone(index), view.ring.clone()));
        }
        let mut same_region = Vec::new();
        let mut other_regions: BTreeMap<&RegionName, Vec<NodeAddress>> = BTreeMap::new();
        for (zone, other) in &view.zones {
            if other.region == *region {
                same_region.extend_from_slice(&other.nodes);
            } else if view.region_rank < GATEWAYS_PER_REGION {
                other_regions
                    .entry(&other.region)
                    .or_default()
                    .extend(&other.nodes);
            }
            if starting {
                candidates.push((LinkPurpose::StartZone(zone.clone()), other.nodes.clone()));
            }
        }
        candidates.push((LinkPurpose::OtherZone, same_region));
        for (name, nodes) in other_regions {
            candidates.push((LinkPurpose::Region(name.clone()), nodes));
        }
        if view.node_count <= 1 || !self.links.values().any(|link| link.up) {
            for index in 0..RING_LINKS + RANDOM_LINKS {
                candidates.push((LinkPurpose::Seed(index), seeds.to_vec()));
            }
        }
        let previous = std::mem::take(&mut self.selected);
        for (purpose, mut nodes) in candidates {
            let in_backoff = self
                .purpose_failures
                .get(&purpose)
                .is_some_and(|failure| now < failure.retry_at);
            if in_backoff {
                continue;
            }
            nodes.retain(|peer| !desired.contains(peer) && self.usable(peer, now));
            let kept = previous.get(&purpose).filter(|peer| nodes.contains(peer));
            if let Some(peer) = kept.or_else(|| nodes.choose(rng)) {
                desired.insert(*peer);
                self.selected.insert(purpose, *peer);
            }
        }
        self.requested = self.requested.filter(|(_, until)| now < *until);
        desired.extend(self.requested.map(|(peer, _)| peer));
        desired
    }

    /// Returns whether the link to a peer is up or may be tried again.
    fn usable(&self, peer: &NodeAddress, now: ClockTime) -> bool {
        let up = self.links.get(peer).is_some_and(|link| link.up);
        let due = |failure: &FailureRecord| now >= failure.retry_at;
        up || self.failures.get(peer).is_none_or(due)
    }
}
