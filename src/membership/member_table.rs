use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation, ServiceName, ZoneName};
use crate::membership::member_record::MemberRecord;
use crate::membership::{MemberEntry, MemberSnapshot, MemberState, MemberView, SuspicionReports};

/// Time for which a node that refuted its removal or restarted is not removed because of the list.
const PROTECTION_TIME: ClockTime = ClockTime(120_000);

/// Merged state of all known nodes.
///
/// For each address, the entry with the higher incarnation takes precedence. Within an incarnation,
/// the state changes only from live to leaving to gone. Entries known only from the platform's list
/// have incarnation zero, so they never override an entry that the node itself published. A node
/// that receives an outdated state of itself, such as leaving or gone, increments its own
/// incarnation and thereby corrects the other nodes.
#[derive(Debug, Clone)]
pub struct MemberTable {
    pub(super) own: NodeAddress,
    pub(super) records: BTreeMap<NodeAddress, MemberRecord>,
    pub(super) changes: BTreeMap<u64, NodeAddress>,
    pub(super) sequence: u64,
    pub(super) digest: u64,
    pub(super) revision: Option<u64>,
    pub(super) suspicions: SuspicionReports,
}

impl MemberTable {
    /// Creates a table that contains only the node itself.
    #[must_use]
    pub fn new(own: MemberEntry) -> Self {
        let mut table = Self {
            own: own.address,
            records: BTreeMap::new(),
            changes: BTreeMap::new(),
            sequence: 0,
            digest: 0,
            revision: None,
            suspicions: SuspicionReports::default(),
        };
        table.store(MemberRecord::new(own), ClockTime(0));
        table
    }

    /// Returns the entry of the node itself.
    #[must_use]
    pub fn own(&self) -> Option<&MemberEntry> {
        self.get(&self.own)
    }

    /// Sets the state of the node itself; returns whether it changed.
    ///
    /// Within an incarnation the state changes only towards gone. A node that accepts calls again
    /// after its backend server recovered therefore increments its incarnation.
    pub fn set_own_state(&mut self, state: MemberState, now: ClockTime) -> bool {
        let Some(record) = self.records.get(&self.own) else {
            return false;
        };
        if state == record.entry.state {
            return false;
        }
        let mut record = record.clone();
        if state < record.entry.state {
            record.entry.incarnation.0 += 1;
        }
        record.entry.state = state;
        record.source = None;
        self.store(record, now);
        true
    }

    /// Merges an entry received from `source` and returns whether the table changed.
    ///
    /// A tombstone of an unknown node is stored only if `initial` is set, which is the case for the
    /// first full table that a node receives. Later tables would restore tombstones that expired
    /// here.
    pub fn merge(
        &mut self,
        entry: &MemberEntry,
        source: NodeAddress,
        initial: bool,
        now: ClockTime,
    ) -> bool {
        let Some(held) = self.records.get(&entry.address) else {
            if entry.state == MemberState::Gone && !initial {
                return false;
            }
            let mut record = MemberRecord::new(entry.clone());
            record.source = Some(source);
            self.store(record, now);
            return true;
        };
        let order = entry.incarnation.cmp(&held.entry.incarnation);
        if order.is_lt() || (order.is_eq() && entry.state <= held.entry.state) {
            return false;
        }
        let mut record = held.clone();
        if entry.address == self.own {
            record.entry.incarnation = NodeIncarnation(entry.incarnation.0 + 1);
            record.source = None;
            self.store(record, now);
            return true;
        }
        let removed = held.entry.state == MemberState::Live && entry.state == MemberState::Gone;
        if order.is_eq() && removed && held.has_recent_contact(now) {
            return false;
        }
        if order.is_gt() {
            // The list may lag behind a restart. The protection is limited in time, since a node
            // that is no longer listed would otherwise never be removed.
            record.protected_until = now + PROTECTION_TIME;
            record.entry = entry.clone();
        } else {
            record.entry.state = entry.state;
        }
        record.source = Some(source);
        self.store(record, now);
        true
    }

    /// Returns whether this node has recent contact with a node that the entry reports as gone.
    #[must_use]
    pub fn contradicts(&self, entry: &MemberEntry, now: ClockTime) -> bool {
        self.records.get(&entry.address).is_some_and(|held| {
            entry.state == MemberState::Gone
                && held.entry.state < MemberState::Gone
                && entry.incarnation == held.entry.incarnation
                && held.has_recent_contact(now)
        })
    }

    /// Records a message received directly from a node; returns whether reports about it were
    /// removed.
    pub fn record_contact(&mut self, address: &NodeAddress, now: ClockTime) -> bool {
        if let Some(record) = self.records.get_mut(address) {
            record.last_contact = Some(now);
        }
        self.suspicions.clear(address)
    }

    /// Records that `reporter` could not reach a node; returns whether the report is to be
    /// forwarded.
    ///
    /// Reports from unknown nodes, about unknown nodes and about earlier incarnations are ignored.
    /// The zone of the reporter is taken from the table.
    pub fn report_unreachable(
        &mut self,
        subject: NodeAddress,
        incarnation: NodeIncarnation,
        reporter: NodeAddress,
        now: ClockTime,
    ) -> bool {
        let (Some(target), Some(sender)) = (self.get(&subject), self.get(&reporter)) else {
            return false;
        };
        if incarnation < target.incarnation || subject == self.own {
            return false;
        }
        let zone = sender.zone.clone();
        self.suspicions
            .record(subject, incarnation, reporter, &zone, now)
    }

    /// Returns whether enough nodes report the node as unreachable.
    #[must_use]
    pub fn is_suspected(&self, address: &NodeAddress, now: ClockTime) -> bool {
        let zones = self.zones().len();
        self.get(address).is_some_and(|entry| {
            self.suspicions
                .is_suspected(address, entry.incarnation, zones, now)
        })
    }

    /// Returns a digest of all entries except tombstones, independent of their order.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the sequence number of the last change.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the entries that changed after `sequence`, except those received from `peer`.
    #[must_use]
    pub fn changed_since(&self, sequence: u64, peer: &NodeAddress) -> Vec<MemberEntry> {
        self.changes
            .range(sequence + 1..)
            .filter_map(|(_, address)| self.records.get(address))
            .filter(|record| record.source.as_ref() != Some(peer))
            .map(|record| record.entry.clone())
            .collect()
    }

    /// Returns all entries, including tombstones, in order of address.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.records.values().map(|record| &record.entry)
    }

    /// Returns the entry of a node.
    #[must_use]
    pub fn get(&self, address: &NodeAddress) -> Option<&MemberEntry> {
        self.records.get(address).map(|record| &record.entry)
    }

    /// Returns the nodes that are not gone, in order of address.
    pub fn present(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries()
            .filter(|entry| entry.state != MemberState::Gone)
    }

    /// Returns the nodes of a zone that are not gone, in order of address.
    pub fn zone_members<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = &'a MemberEntry> + 'a {
        self.present().filter(move |entry| entry.zone == *zone)
    }

    /// Returns the live nodes of a service in order of address.
    pub fn live_endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a MemberEntry> + 'a {
        self.present()
            .filter(move |entry| entry.service == *service && entry.state == MemberState::Live)
    }

    /// Returns the zones that contain a node that is not gone.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        self.present().map(|entry| &entry.zone).collect()
    }

    /// Returns a snapshot for the routing of calls.
    #[must_use]
    pub fn snapshot(&self, now: ClockTime) -> Arc<MemberSnapshot> {
        let zones = self.zones().len();
        let view = |entry: &MemberEntry| MemberView {
            entry: entry.clone(),
            suspected: self
                .suspicions
                .is_suspected(&entry.address, entry.incarnation, zones, now),
        };
        Arc::new(MemberSnapshot::new(self.entries().map(view).collect()))
    }

    pub(super) fn store(&mut self, mut record: MemberRecord, now: ClockTime) {
        let address = record.entry.address;
        if let Some(held) = self.records.get(&address) {
            self.digest = self.digest.wrapping_sub(held.digest_term());
            self.changes.remove(&held.sequence);
        }
        record.gone_at = match record.entry.state {
            MemberState::Gone => record.gone_at.or(Some(now)),
            _ => None,
        };
        self.sequence += 1;
        record.sequence = self.sequence;
        self.digest = self.digest.wrapping_add(record.digest_term());
        self.changes.insert(self.sequence, address);
        self.records.insert(address, record);
    }
}
