use rand::Rng;

use crate::clock::ClockTime;
use crate::distribution::{
    Actions, ControlAction, ControlState, FleetView, LinkChange, ReaderRank, ReaderRole,
};
use crate::id::NodeAddress;
use crate::peer::ControlMessage;

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: ClockTime = ClockTime(1_000);
/// Minimum time between two rebuilds of the fleet view of a large fleet.
const VIEW_REFRESH_INTERVAL: ClockTime = ClockTime(1_000);
/// Number of nodes up to which the fleet view is rebuilt on every change.
const SMALL_FLEET_SIZE: usize = 200;
/// Time after the first member entries until the table is considered complete. Ranks computed from
/// a partial table would make too many nodes watch.
const MEMBER_TABLE_SETTLE_TIME: ClockTime = ClockTime(2_000);
/// Interval between reports of applied versions; one report covers many nodes.
const REPORT_INTERVAL: ClockTime = ClockTime(500);
/// Interval between two evaluations of the set of links.
const LINK_PLAN_INTERVAL: ClockTime = ClockTime(250);
/// Time after which a link without incoming messages is closed and replaced.
const LINK_IDLE_TIMEOUT: ClockTime = ClockTime(3_000);
/// Time after which a fetch without progress is retried from another peer.
const FETCH_TIMEOUT: ClockTime = ClockTime(1_000);
/// Period over which the first reads of a starting fleet are spread.
const FIRST_READ_SPREAD: ClockTime = ClockTime(5_000);
/// Factor by which the spread of first reads is extended while no seed replies. All 5,500 nodes may
/// be isolated; spread over 20 s, they read 275 times per second.
const ISOLATED_SPREAD_FACTOR: u64 = 4;
/// Additional delay for a node outside the region of the configuration service that has peers,
/// because traffic between regions is billed.
const REMOTE_READ_DELAY: ClockTime = ClockTime(10_000);
/// Age of the most recent known read from which a node without a complete member table reads the
/// configuration service itself.
const ISOLATED_READ_DELAY: ClockTime = ClockTime(FIRST_READ_SPREAD.0 * ISOLATED_SPREAD_FACTOR);
/// Maximum wait of a watch request. Watches must complete regularly, because other nodes detect a
/// failed reader by the age of the last completed read.
const MAX_WATCH_WAIT: ClockTime = ClockTime(3_000);

/// Added to the age of the most recent read at each hop. Otherwise each heartbeat between two nodes
/// would reduce the age by the latency between them.
const READ_AGE_HOP_ALLOWANCE: ClockTime = ClockTime(20);

impl ControlState {
    /// Performs the periodic work that is due at `now`.
    pub fn on_tick<Random>(&mut self, now: ClockTime, rng: &mut Random) -> Actions
    where
        Random: Rng + ?Sized,
    {
        let mut actions = Actions::new();
        self.close_dead_links(now, rng, &mut actions);
        let heartbeat_due = now >= self.next_heartbeat;
        if heartbeat_due {
            self.members_dirty |= self.members.expire(now);
        }
        self.refresh_view(now, rng);
        if now >= self.next_plan {
            self.next_plan = now + LINK_PLAN_INTERVAL;
            self.plan_links(now, rng, &mut actions);
        }
        self.read_platform(now, rng, &mut actions);
        self.retry_fetch(now, &mut actions);
        self.fetch_announced(now, &mut actions);
        self.gossip_members(&mut actions);
        if heartbeat_due {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now, &mut actions);
            self.send_removal_notices(now, &mut actions);
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.send_reports(&mut actions);
        }
        if self.members_dirty && now >= self.next_snapshot {
            self.members_dirty = false;
            self.next_snapshot = now + LINK_PLAN_INTERVAL;
            actions.push(ControlAction::MembersChanged);
        }
        self.update_readiness(now, &mut actions);
        actions
    }

    fn close_dead_links<Random>(&mut self, now: ClockTime, rng: &mut Random, actions: &mut Actions)
    where
        Random: Rng + ?Sized,
    {
        let mut peers = std::mem::take(&mut self.failed_links);
        let is_idle = |last_received: ClockTime| now - last_received >= LINK_IDLE_TIMEOUT;
        let links = self
            .links
            .iter()
            .filter(|(_, link)| is_idle(link.last_received));
        peers.extend(links.map(|(peer, _)| *peer));
        for to in peers {
            self.on_link_down(to, now, rng);
            actions.push(ControlAction::Close { to });
        }
    }

    fn refresh_view<Random>(&mut self, now: ClockTime, rng: &mut Random)
    where
        Random: Rng + ?Sized,
    {
        let sequence = self.members.sequence();
        if self.view_sequence == Some(sequence) || now < self.next_view {
            return;
        }
        self.view_sequence = Some(sequence);
        // Building a fleet view hashes every address, which is cheap only for a small fleet.
        if self.members.entries().count() > SMALL_FLEET_SIZE {
            self.next_view = now + VIEW_REFRESH_INTERVAL;
        }
        let member = &self.settings.member;
        self.view = FleetView::new(&self.members, member);
        let in_platform_region = member.region == self.settings.platform_region;
        let rank = self.rank.as_ref().map(ReaderRank::rank);
        if rank != Some(self.view.zone_rank) {
            self.rank = Some(ReaderRank::new(&self.view, in_platform_region, rng));
        }
        if self.member_table_since.is_some() {
            let zones = self.view.zone_count();
            self.budget.resize(zones, self.view.node_count, now);
        }
    }

    fn plan_links<Random>(&mut self, now: ClockTime, rng: &mut Random, actions: &mut Actions)
    where
        Random: Rng + ?Sized,
    {
        let starting = !self.readiness.ready();
        let region = &self.settings.member.region;
        let seeds = &self.settings.seeds;
        let view = &self.view;
        for change in self.neighbors.plan(view, region, seeds, starting, now, rng) {
            match change {
                LinkChange::Open(to) => {
                    self.readiness.on_peer_queried(to, now);
                    actions.push(ControlAction::Open { to });
                }
                LinkChange::Close(to) => {
                    self.links.remove(&to);
                    self.applied.reset_peer(&to);
                    actions.push(ControlAction::Close { to });
                }
            }
        }
        if self.member_table_since.is_some() || self.settings.seeds.is_empty() {
            self.readiness.on_all_queried();
        }
    }

    fn read_platform<Random>(&mut self, now: ClockTime, rng: &mut Random, actions: &mut Actions)
    where
        Random: Rng + ?Sized,
    {
        let spread = FIRST_READ_SPREAD.0;
        let first_read_delay = *self
            .first_read_delay
            .get_or_insert_with(|| ClockTime(rng.random_range(0..spread)));
        let wait = self.settings.watch_wait.min(MAX_WATCH_WAIT);
        let table_complete = self
            .member_table_since
            .is_some_and(|at| now - at >= MEMBER_TABLE_SETTLE_TIME);
        let age = now - self.last_known_read.unwrap_or(self.start);
        let role = match &self.rank {
            _ if self.settings.every_node_watches => ReaderRole::Watch,
            Some(rank) if table_complete => rank.role(age),
            _ if age >= ISOLATED_READ_DELAY => ReaderRole::TakeOver,
            _ => ReaderRole::Idle,
        };
        if role == ReaderRole::Watch {
            if self.manifest_read.is_due(now) && self.budget.take_watch(now) {
                self.read_manifest(wait, actions);
            }
            if self.instances_read.is_due(now) && self.budget.take_watch(now) {
                self.read_instances(wait, actions);
            }
            return;
        }
        let has_peer = self.links.values().any(|link| link.zone.is_some());
        let in_platform_region = self.settings.member.region == self.settings.platform_region;
        let remote = has_peer && !in_platform_region;
        let isolated = !has_peer && !self.settings.seeds.is_empty();
        let due = match (isolated, remote) {
            (true, _) => self.start + ClockTime(first_read_delay.0 * ISOLATED_SPREAD_FACTOR),
            (_, true) => self.start + first_read_delay + REMOTE_READ_DELAY,
            _ => self.start + first_read_delay,
        };
        let has_version = has_peer && self.versions.current().is_some();
        let deferred = has_version && now - self.start < FIRST_READ_SPREAD;
        let starting = !self.readiness.ready() && now >= due && !deferred;
        if starting || role == ReaderRole::TakeOver {
            if self.manifest_read.is_due(now) && self.budget.take_takeover(now) {
                self.read_manifest(ClockTime(0), actions);
            }
        } else if !table_complete && now >= due && self.instances_read.is_due(now) {
            // Without peers, the instance list is the only way to discover other nodes.
            if !has_peer && self.budget.take_takeover(now) {
                self.read_instances(ClockTime(0), actions);
            }
        }
    }

    fn read_manifest(&mut self, wait: ClockTime, actions: &mut Actions) {
        self.manifest_read.start();
        let after = self.manifest_read.revision;
        actions.push(ControlAction::ReadManifest { after, wait });
    }

    fn read_instances(&mut self, wait: ClockTime, actions: &mut Actions) {
        self.instances_read.start();
        let after = self.instances_read.revision;
        actions.push(ControlAction::ReadInstances { after, wait });
    }

    fn retry_fetch(&mut self, now: ClockTime, actions: &mut Actions) {
        let Some(fetch) = &self.fetch else {
            return;
        };
        if now - fetch.last_progress < FETCH_TIMEOUT {
            return;
        }
        let (stamp, previous) = (fetch.stamp, fetch.from);
        let has_version = |peer: &NodeAddress| {
            let link = self.links.get(peer);
            link.is_some_and(|link| link.stamp >= stamp)
        };
        let candidates: Vec<_> = self.links.keys().copied().filter(has_version).collect();
        let next = candidates.iter().find(|peer| **peer > previous);
        match next.or(candidates.first()) {
            Some(peer) => self.request_index(*peer, stamp, now, actions),
            None => self.fetch = None,
        }
    }

    fn send_heartbeats(&mut self, now: ClockTime, actions: &mut Actions) {
        let peers: Vec<_> = self.links.keys().copied().collect();
        let heartbeat = ControlMessage::Heartbeat {
            stamp: self.versions.stamp(),
            read_age: self
                .read_age(now)
                .map_or(ClockTime(u64::MAX), |age| age + READ_AGE_HOP_ALLOWANCE),
            member_digest: self.members.digest(),
        };
        for to in peers {
            if !self.readiness.ready() {
                // A ready peer replies with its own `Hello`, which verifies the version in force.
                actions.push(self.hello(to));
            }
            actions.push(ControlAction::Send {
                to,
                message: heartbeat.clone(),
            });
        }
    }

    /// Reports to peers in the same zone which versions nodes have applied.
    fn send_reports(&mut self, actions: &mut Actions) {
        let zone = &self.settings.member.zone;
        let member = |node: &_| self.members.get(node).map(|entry| entry.incarnation);
        self.applied.prune(member);
        for (to, link) in &self.links {
            let same_zone = link.zone.as_ref() == Some(zone);
            if !same_zone || !(link.sends_reports || self.neighbors.reports_to(to)) {
                continue;
            }
            for (stamp, nodes) in self.applied.take_unsent(*to) {
                let message = ControlMessage::Applied { stamp, nodes };
                actions.push(ControlAction::Send { to: *to, message });
            }
        }
    }
}
