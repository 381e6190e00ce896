use rand::Rng;

use crate::clock::ClockTime;
use crate::distribution::{
    Actions, ControlAction, ControlState, FleetView, LinkChange, ReaderRank, ReaderRole,
};
use crate::id::NodeAddress;
use crate::peer::ControlMessage;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: ClockTime = ClockTime(1_000);
/// Shortest time between two arrangements of a large member table.
const VIEW_INTERVAL: ClockTime = ClockTime(1_000);
/// Number of nodes up to which the member table is arranged at each change.
const SMALL_FLEET: usize = 200;
/// Time from the first message of the first member table until all of it counts as received; the
/// rank in a partial table would make too many nodes watch.
const TABLE_TIME: ClockTime = ClockTime(2_000);
/// Time between two reports of nodes that have a version in force; one report covers many nodes.
const REPORT_INTERVAL: ClockTime = ClockTime(500);
/// Time between two decisions about links.
const PLAN_INTERVAL: ClockTime = ClockTime(250);
/// Time after which a link on which nothing was heard is replaced.
const SILENCE_LIMIT: ClockTime = ClockTime(3_000);
/// Time after which a fetch without progress is retried at another peer.
const FETCH_TIMEOUT: ClockTime = ClockTime(1_000);
/// Time over which the first reads of a fleet that starts are spread.
const FIRST_READ_SPREAD: ClockTime = ClockTime(5_000);
/// Factor by which the first reads are spread wider while no peer of the settings answers: all
/// 5,500 nodes may be alone, and over 20 s they read 275 times a second.
const ALONE_SPREAD: u64 = 4;
/// Additional wait of a node in another region that has peers, because its reads are paid for.
const REMOTE_WAIT: ClockTime = ClockTime(10_000);
/// Time after which a node that learned of no other node reads as if it were alone.
const ALONE_TIME: ClockTime = ClockTime(FIRST_READ_SPREAD.0 * ALONE_SPREAD);
/// Longest wait of a watch; the age of the last completed read must show that a reader works.
const WATCH_LIMIT: ClockTime = ClockTime(3_000);

/// Added to the age of the last_known_read read at each hop. Without it two nodes would make the age
/// smaller by the latency between them with every heartbeat.
const HOP_ALLOWANCE: ClockTime = ClockTime(20);

impl ControlState {
    /// Does what is due.
    pub fn on_tick<Random>(&mut self, now: ClockTime, rng: &mut Random) -> Actions
    where
        Random: Rng + ?Sized,
    {
        let mut actions = Actions::new();
        self.drop_links(now, rng, &mut actions);
        let beat = now >= self.next_heartbeat;
        if beat {
            self.members_dirty |= self.members.expire(now);
        }
        self.refresh_view(now, rng);
        if now >= self.next_plan {
            self.next_plan = now + PLAN_INTERVAL;
            self.plan_links(now, rng, &mut actions);
        }
        self.read_platform(now, rng, &mut actions);
        self.retry_fetch(now, &mut actions);
        self.fetch_announced(now, &mut actions);
        self.gossip_members(&mut actions);
        if beat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now, &mut actions);
            self.challenge_members(now, &mut actions);
        }
        if now >= self.next_report {
            self.next_report = now + REPORT_INTERVAL;
            self.send_reports(&mut actions);
        }
        if self.members_dirty && now >= self.next_snapshot {
            self.members_dirty = false;
            self.next_snapshot = now + PLAN_INTERVAL;
            actions.push(ControlAction::MembersChanged);
        }
        self.update_readiness(now, &mut actions);
        actions
    }

    fn drop_links<Random>(&mut self, now: ClockTime, rng: &mut Random, actions: &mut Actions)
    where
        Random: Rng + ?Sized,
    {
        let mut peers = std::mem::take(&mut self.failed_links);
        let silent = |heard: ClockTime| now - heard >= SILENCE_LIMIT;
        let links = self.links.iter().filter(|(_, link)| silent(link.heard));
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
        // A fleet view hashes every address; a small one is cheap to compute at once.
        if self.members.entries().count() > SMALL_FLEET {
            self.next_view = now + VIEW_INTERVAL;
        }
        let member = &self.settings.member;
        self.view = FleetView::new(&self.members, member);
        let home = member.region == self.settings.platform_region;
        let rank = self.rank.as_ref().map(ReaderRank::rank);
        if rank != Some(self.view.zone_rank) {
            self.rank = Some(ReaderRank::new(&self.view, home, rng));
        }
        if self.member_table_since.is_some() {
            let zones = self.view.zone_count();
            self.budget.resize(zones, self.view.fleet, now);
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
                    self.applied.forget(&to);
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
        let first = *self
            .first_read
            .get_or_insert_with(|| ClockTime(rng.random_range(0..spread)));
        let wait = self.settings.watch_wait.min(WATCH_LIMIT);
        let known = self
            .member_table_since
            .is_some_and(|at| now - at >= TABLE_TIME);
        let age = now - self.last_known_read.unwrap_or(self.start);
        let role = match &self.rank {
            _ if self.settings.every_node_watches => ReaderRole::Watch,
            Some(rank) if known => rank.role(age),
            _ if age >= ALONE_TIME => ReaderRole::TakeOver,
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
        let greeted = self.links.values().any(|link| link.zone.is_some());
        let home = self.settings.member.region == self.settings.platform_region;
        let remote = greeted && !home;
        let alone = !greeted && !self.settings.seeds.is_empty();
        let due = match (alone, remote) {
            (true, _) => self.start + ClockTime(first.0 * ALONE_SPREAD),
            (_, true) => self.start + first + REMOTE_WAIT,
            _ => self.start + first,
        };
        let served = greeted && self.versions.current().is_some();
        let patient = served && now - self.start < FIRST_READ_SPREAD;
        let starting = !self.readiness.ready() && now >= due && !patient;
        if starting || role == ReaderRole::TakeOver {
            if self.manifest_read.is_due(now) && self.budget.take_takeover(now) {
                self.read_manifest(ClockTime(0), actions);
            }
        } else if !known && now >= due && self.instances_read.is_due(now) {
            // Without peers the list is the only way to learn of other nodes.
            if !greeted && self.budget.take_takeover(now) {
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
        if now - fetch.since < FETCH_TIMEOUT {
            return;
        }
        let (stamp, last) = (fetch.stamp, fetch.from);
        let holds = |peer: &NodeAddress| {
            let link = self.links.get(peer);
            link.is_some_and(|link| link.stamp >= stamp)
        };
        let holders: Vec<_> = self.links.keys().copied().filter(holds).collect();
        let next = holders.iter().find(|peer| **peer > last);
        match next.or(holders.first()) {
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
                .map_or(ClockTime(u64::MAX), |age| age + HOP_ALLOWANCE),
            member_digest: self.members.digest(),
        };
        for to in peers {
            if !self.readiness.ready() {
                // A peer that is ready answers it, which verifies the version held here.
                actions.push(self.hello(to));
            }
            actions.push(ControlAction::Send {
                to,
                message: heartbeat.clone(),
            });
        }
    }

    /// Tells peers of the zone which versions nodes have put in force.
    fn send_reports(&mut self, actions: &mut Actions) {
        let zone = &self.settings.member.zone;
        let member = |node: &_| self.members.get(node).map(|entry| entry.incarnation);
        self.applied.prune(member);
        for (to, link) in &self.links {
            let near = link.zone.as_ref() == Some(zone);
            if !near || !(link.reports || self.neighbors.reports_to(to)) {
                continue;
            }
            for (stamp, nodes) in self.applied.unsent(*to) {
                let message = ControlMessage::Applied { stamp, nodes };
                actions.push(ControlAction::Send { to: *to, message });
            }
        }
    }
}
