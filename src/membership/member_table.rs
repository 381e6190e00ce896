use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation, ServiceName, ZoneName};
use crate::membership::member_record::MemberRecord;
use crate::membership::{MemberEntry, MemberSnapshot, MemberState, MemberView, WitnessSet};

/// Time for which the list does not remove a node that contradicted it or started anew.
const SPARE_TIME: ClockTime = ClockTime(120_000);

/// Merges what is known of every node.
///
/// Per address the higher incarnation wins; at the same incarnation the state moves only from
/// live to leaving to gone. Entries that are known only from the platform's list have incarnation
/// zero, so they never override what a node says of itself. A node that learns that others hold
/// it for leaving or gone raises its own incarnation, which corrects them.
#[derive(Debug, Clone)]
pub struct MemberTable {
    pub(super) own: NodeAddress,
    pub(super) records: BTreeMap<NodeAddress, MemberRecord>,
    pub(super) changes: BTreeMap<u64, NodeAddress>,
    pub(super) sequence: u64,
    pub(super) digest: u64,
    pub(super) revision: Option<u64>,
    pub(super) witnesses: WitnessSet,
}

impl MemberTable {
    /// Creates a table that holds the node itself.
    #[must_use]
    pub fn new(own: MemberEntry) -> Self {
        let mut table = Self {
            own: own.address,
            records: BTreeMap::new(),
            changes: BTreeMap::new(),
            sequence: 0,
            digest: 0,
            revision: None,
            witnesses: WitnessSet::default(),
        };
        table.store(MemberRecord::new(own), ClockTime(0));
        table
    }

    /// Returns the node's own entry.
    #[must_use]
    pub fn own(&self) -> Option<&MemberEntry> {
        self.get(&self.own)
    }

    /// Announces the node's own state; returns whether it changed.
    ///
    /// States of one incarnation only move towards gone, so a node that takes work again, because
    /// its backend server recovered, raises its incarnation by 1.
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

    /// Merges an entry that `source` sent and returns whether the table changed.
    ///
    /// A tombstone of an unknown node is kept only if `first` is set, that is in the first full
    /// table that a node receives. Later ones would bring back tombstones that expired here.
    pub fn merge(
        &mut self,
        entry: &MemberEntry,
        source: NodeAddress,
        first: bool,
        now: ClockTime,
    ) -> bool {
        let Some(held) = self.records.get(&entry.address) else {
            if entry.state == MemberState::Gone && !first {
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
        if order.is_eq() && removed && held.is_heard(now) {
            return false;
        }
        if order.is_gt() {
            // The list may lag behind a restart, but an entry that the list never removed again
            // would stay for ever, so the new process is only spared for a time.
            record.spared = now + SPARE_TIME;
            record.entry = entry.clone();
        } else {
            record.entry.state = entry.state;
        }
        record.source = Some(source);
        self.store(record, now);
        true
    }

    /// Returns whether this node hears a node that the entry says is gone.
    #[must_use]
    pub fn contradicts(&self, entry: &MemberEntry, now: ClockTime) -> bool {
        self.records.get(&entry.address).is_some_and(|held| {
            entry.state == MemberState::Gone
                && held.entry.state < MemberState::Gone
                && entry.incarnation == held.entry.incarnation
                && held.is_heard(now)
        })
    }

    /// Records that the node itself was heard on a link; returns whether a suspicion was cleared.
    pub fn record_contact(&mut self, address: &NodeAddress, now: ClockTime) -> bool {
        if let Some(record) = self.records.get_mut(address) {
            record.heard = Some(now);
        }
        self.witnesses.clear(address)
    }

    /// Records that a node could not be reached; returns whether it is news to pass on.
    ///
    /// Reports by unknown witnesses, about unknown nodes and about former incarnations are
    /// ignored. The zone of a witness comes from the table.
    pub fn report_unreachable(
        &mut self,
        subject: NodeAddress,
        incarnation: NodeIncarnation,
        witness: NodeAddress,
        now: ClockTime,
    ) -> bool {
        let (Some(target), Some(reporter)) = (self.get(&subject), self.get(&witness)) else {
            return false;
        };
        if incarnation < target.incarnation || subject == self.own {
            return false;
        }
        let zone = reporter.zone.clone();
        self.witnesses
            .report(subject, incarnation, witness, &zone, now)
    }

    /// Returns whether enough witnesses report that the node cannot be reached.
    #[must_use]
    pub fn is_suspected(&self, address: &NodeAddress, now: ClockTime) -> bool {
        let zones = self.zones().len();
        self.get(address).is_some_and(|entry| {
            self.witnesses
                .is_suspected(address, entry.incarnation, zones, now)
        })
    }

    /// Returns a digest over all entries but tombstones, independent of their order.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the position of the last change.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the entries that changed after `sequence`, without those that came from `peer`.
    #[must_use]
    pub fn changed_since(&self, sequence: u64, peer: &NodeAddress) -> Vec<MemberEntry> {
        self.changes
            .range(sequence + 1..)
            .filter_map(|(_, address)| self.records.get(address))
            .filter(|record| record.source.as_ref() != Some(peer))
            .map(|record| record.entry.clone())
            .collect()
    }

    /// Returns every entry, with tombstones, in order of address.
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

    /// Returns the nodes of a service that take work, in order of address.
    pub fn live_endpoints<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a MemberEntry> + 'a {
        self.present()
            .filter(move |entry| entry.service == *service && entry.state == MemberState::Live)
    }

    /// Returns the zones that have a node.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        self.present().map(|entry| &entry.zone).collect()
    }

    /// Returns a copy for the call side.
    #[must_use]
    pub fn snapshot(&self, now: ClockTime) -> Arc<MemberSnapshot> {
        let zones = self.zones().len();
        let view = |entry: &MemberEntry| MemberView {
            entry: entry.clone(),
            suspected: self
                .witnesses
                .is_suspected(&entry.address, entry.incarnation, zones, now),
        };
        Arc::new(MemberSnapshot::new(self.entries().map(view).collect()))
    }

    pub(super) fn store(&mut self, mut record: MemberRecord, now: ClockTime) {
        let address = record.entry.address;
        if let Some(held) = self.records.get(&address) {
            self.digest = self.digest.wrapping_sub(held.weight());
            self.changes.remove(&held.sequence);
        }
        record.gone_at = match record.entry.state {
            MemberState::Gone => record.gone_at.or(Some(now)),
            _ => None,
        };
        self.sequence += 1;
        record.sequence = self.sequence;
        self.digest = self.digest.wrapping_add(record.weight());
        self.changes.insert(self.sequence, address);
        self.records.insert(address, record);
    }
}
