use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use crate::clock::ClockTime;
use crate::distribution::control_offer;
use crate::distribution::fetch_state::FetchState;
use crate::distribution::link_state::LinkState;
use crate::distribution::read_schedule::ReadSchedule;
use crate::distribution::version_transfer::AnnouncedVersion;
use crate::distribution::{
    Actions, AppliedSet, ControlAction, ControlSettings, DeltaLog, FleetView, NeighborSet,
    ReadBudget, ReaderRank, ReadinessState, VersionTracker,
};
use crate::error::{Result, ResultCode};
use crate::id::NodeAddress;
use crate::membership::{MemberEntry, MemberSnapshot, MemberState, MemberTable};
use crate::platform::{ConfigRead, InstanceList};
use crate::version::{ContentDigest, VersionStamp};

/// Fleet size assumed for the read budget while no other node is known. This is the largest
/// supported fleet, because after a restart of the whole fleet every node may initially reach only
/// the configuration service.
const ASSUMED_FLEET_SIZE: usize = 5_500;

/// Sans-I/O state machine for the distribution of versions and membership.
///
/// Each method takes an event and the current time and returns the actions to perform. `on_tick`
/// must be called about every 100 ms.
#[derive(Debug, Clone)]
pub struct ControlState {
    pub(super) settings: ControlSettings,
    pub(super) members: MemberTable,
    pub(super) versions: VersionTracker,
    pub(super) delta_log: DeltaLog,
    pub(super) neighbors: NeighborSet,
    pub(super) readiness: ReadinessState,
    pub(super) applied: AppliedSet,
    pub(super) budget: ReadBudget,
    pub(super) rank: Option<ReaderRank>,
    pub(super) view: FleetView,
    pub(super) view_sequence: Option<u64>,
    pub(super) links: BTreeMap<NodeAddress, LinkState>,
    pub(super) failed_links: Vec<NodeAddress>,
    pub(super) fetch: Option<FetchState>,
    pub(super) announced: Option<AnnouncedVersion>,
    pub(super) start: ClockTime,
    pub(super) first_read_delay: Option<ClockTime>,
    pub(super) last_known_read: Option<ClockTime>,
    pub(super) manifest_read: ReadSchedule,
    pub(super) instances_read: ReadSchedule,
    pub(super) member_table_since: Option<ClockTime>,
    pub(super) next_members_request: ClockTime,
    pub(super) members_dirty: bool,
    pub(super) next_heartbeat: ClockTime,
    pub(super) next_report: ClockTime,
    pub(super) next_plan: ClockTime,
    pub(super) next_view: ClockTime,
    pub(super) next_snapshot: ClockTime,
    pub(super) refusals: BTreeMap<NodeAddress, (u64, ContentDigest, ResultCode)>,
}

impl ControlState {
    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub fn new(settings: ControlSettings, now: ClockTime) -> Self {
        let mut settings = settings;
        let own = settings.member.address;
        // Nodes that start together send heartbeats and reports at different phases, so that two of
        // them rarely send the same node ids to each other simultaneously.
        let digest = ContentDigest::of(own.to_string().as_bytes()).0;
        let phase = ClockTime(u64::from(u16::from_le_bytes([digest[0], digest[1]])) % 1_000);
        settings.seeds.retain(|seed| *seed != own);
        Self {
            members: MemberTable::new(settings.member.clone()),
            versions: VersionTracker::default(),
            delta_log: DeltaLog::default(),
            neighbors: NeighborSet::default(),
            readiness: ReadinessState::new(now),
            applied: AppliedSet::new(own),
            budget: ReadBudget::new(settings.call_budget, 1, ASSUMED_FLEET_SIZE, now),
            rank: None,
            view: FleetView::default(),
            view_sequence: None,
            links: BTreeMap::new(),
            failed_links: Vec::new(),
            fetch: None,
            announced: None,
            start: now,
            first_read_delay: None,
            last_known_read: None,
            manifest_read: ReadSchedule::default(),
            instances_read: ReadSchedule::default(),
            member_table_since: None,
            next_members_request: now,
            members_dirty: true,
            next_heartbeat: now + phase,
            next_report: now + phase,
            next_plan: now,
            next_view: now,
            next_snapshot: now,
            refusals: BTreeMap::new(),
            settings,
        }
    }

    /// Returns whether the node is ready to serve calls.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.readiness.ready()
    }

    /// Returns the version in force, with refused and conflicting versions.
    #[must_use]
    pub fn versions(&self) -> &VersionTracker {
        &self.versions
    }

    /// Returns the member table.
    #[must_use]
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the member entry of this node as of its start.
    #[must_use]
    pub fn own_member(&self) -> &MemberEntry {
        &self.settings.member
    }

    /// Returns a snapshot of the member table for call routing.
    #[must_use]
    pub fn snapshot(&self, now: ClockTime) -> Arc<MemberSnapshot> {
        self.members.snapshot(now)
    }

    /// Returns the versions that the nodes of the zone have applied.
    #[must_use]
    pub fn applied(&self) -> &AppliedSet {
        &self.applied
    }

    /// Returns the most recent refusal reported by each node.
    #[must_use]
    pub fn refusals(&self) -> &BTreeMap<NodeAddress, (u64, ContentDigest, ResultCode)> {
        &self.refusals
    }

    /// Returns the peers with an established link.
    pub fn linked(&self) -> impl Iterator<Item = &NodeAddress> {
        self.links.keys()
    }

    /// Returns the age of the most recent known read of the configuration service by any node.
    #[must_use]
    pub fn read_age(&self, now: ClockTime) -> Option<ClockTime> {
        self.last_known_read.map(|at| now - at)
    }

    /// Handles a link that was established by either side.
    pub fn on_link_up(&mut self, peer: NodeAddress, now: ClockTime) -> Actions {
        if !self.neighbors.on_link_up(peer, now) {
            return vec![ControlAction::Close { to: peer }];
        }
        self.applied.reset_peer(&peer);
        let link = LinkState::new(self.members.sequence(), now);
        self.links.insert(peer, link);
        vec![self.hello(peer)]
    }

    /// Handles a link that closed or could not be opened.
    pub fn on_link_down<Random>(&mut self, peer: NodeAddress, now: ClockTime, rng: &mut Random)
    where
        Random: Rng + ?Sized,
    {
        self.links.remove(&peer);
        self.applied.reset_peer(&peer);
        self.neighbors.on_link_down(&peer, now, rng);
        self.readiness.on_peer_lost(&peer, now);
    }

    /// Handles the result of a manifest read.
    pub fn on_manifest_read(&mut self, result: Result<ConfigRead>, now: ClockTime) -> Actions {
        let mut actions = Actions::new();
        let is_current = self.manifest_read.finish(result.is_ok(), now);
        match result {
            Ok(ConfigRead::Value { revision, bytes }) => {
                self.manifest_read.revision = Some(revision);
                self.offer(None, now, &mut actions, |versions| {
                    versions.offer_published(&bytes)
                });
            }
            Ok(ConfigRead::Unchanged) => {}
            Err(error) => actions.push(control_offer::warning(error)),
        }
        if is_current {
            self.last_known_read = Some(now);
            self.readiness.on_platform_read(self.versions.stamp());
        }
        self.update_readiness(now, &mut actions);
        actions
    }

    /// Handles the result of an instance list read.
    pub fn on_instances_read(
        &mut self,
        result: Result<Option<InstanceList>>,
        now: ClockTime,
    ) -> Actions {
        self.instances_read.finish(result.is_ok(), now);
        match result {
            Ok(Some(list)) => {
                self.instances_read.revision = Some(list.revision);
                self.members_dirty |= self.members.apply_list(&list, now);
                self.member_table_since.get_or_insert(now);
                Actions::new()
            }
            Ok(None) => Actions::new(),
            Err(error) => vec![control_offer::warning(error)],
        }
    }

    /// Handles the stamp carried by a call; a version newer than the one in force is fetched.
    pub fn on_stamp_seen(
        &mut self,
        from: NodeAddress,
        stamp: VersionStamp,
        now: ClockTime,
    ) -> Actions {
        let mut actions = Actions::new();
        self.observe_stamp(from, stamp, now, &mut actions);
        actions
    }

    /// Handles a failure to reach a node while routing a call.
    pub fn on_unreachable(&mut self, subject: NodeAddress, now: ClockTime) -> Actions {
        let incarnation = self.members.get(&subject).map(|entry| entry.incarnation);
        incarnation.map_or_else(Actions::new, |incarnation| {
            let reporter = self.settings.member.address;
            self.forward_suspicion(subject, incarnation, reporter, None, now)
        })
    }

    /// Announces a new state of this node, for example that it is leaving.
    pub fn on_own_state(&mut self, state: MemberState, now: ClockTime) -> Actions {
        let mut actions = Actions::new();
        if self.members.set_own_state(state, now) {
            self.members_dirty = true;
            self.gossip_members(&mut actions);
        }
        actions
    }

    /// Resets readiness and closes all links after a gap in the monotonic clock.
    ///
    /// The links are closed because a message that was buffered during the pause would otherwise be
    /// mistaken for a reply sent after it.
    pub fn on_pause(&mut self, now: ClockTime) -> Actions {
        let was_ready = self.readiness.ready();
        self.readiness.on_pause(now);
        self.manifest_read.on_pause();
        self.instances_read.on_pause();
        self.fetch = None;
        self.announced = None;
        self.links.clear();
        self.next_plan = now;
        let mut actions = Actions::new();
        for to in self.neighbors.reset() {
            self.applied.reset_peer(&to);
            actions.push(ControlAction::Close { to });
        }
        if was_ready {
            actions.push(ControlAction::ReadyChanged(false));
        }
        actions
    }
}
