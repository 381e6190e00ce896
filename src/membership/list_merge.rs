use std::collections::HashSet;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation};
use crate::membership::member_record::MemberRecord;
use crate::membership::{MemberEntry, MemberState, MemberTable};
use crate::platform::{InstanceEntry, InstanceList, InstanceState};

/// Lifetime of a tombstone; fence requests for a key can be sent for this long after its call.
const TOMBSTONE_LIFETIME: ClockTime = ClockTime(600_000);
/// Time for which a node that left the list and had no recent contact is kept. Only its neighbors
/// are in contact with it, so the other nodes have to probe it first.
const CONFIRMATION_TIME: ClockTime = ClockTime(30_000);
/// Time before the removal from which a node without a link is probed over a new link.
const PROBE_LEAD_TIME: ClockTime = ClockTime(20_000);
/// Time before the removal from which a linked node is notified of it, so that it can refute it.
const NOTICE_LEAD_TIME: ClockTime = ClockTime(60_000);

impl MemberTable {
    /// Merges the platform's instance list and returns whether the table changed.
    ///
    /// A list that is not newer than the last one is ignored. A node that is no longer in the list
    /// is removed by [`MemberTable::expire`] after 30 s without contact, unless it refuted the
    /// removal.
    pub fn apply_list(&mut self, list: &InstanceList, now: ClockTime) -> bool {
        if self.revision.is_some_and(|held| list.revision <= held) {
            return false;
        }
        self.revision = Some(list.revision);
        let before = self.sequence;
        let mut present = HashSet::new();
        for instance in &list.instances {
            present.insert(instance.address);
            self.apply_instance(instance, now);
        }
        for record in self.records.values_mut() {
            let known = record.listed || record.entry.incarnation.0 == 0;
            if !present.contains(&record.entry.address) && known {
                record.listed = false;
                let newly_unlisted = !std::mem::replace(&mut record.unlisted, true);
                if newly_unlisted
                    && record.entry.incarnation.0 > 0
                    && !record.has_recent_contact(now)
                {
                    record.protected_until = record.protected_until.max(now + CONFIRMATION_TIME);
                }
            }
        }
        self.expire(now);
        self.sequence != before
    }

    /// Removes nodes that left the list, expired tombstones and expired reports of unreachable
    /// nodes.
    ///
    /// Returns whether snapshots taken before and after the call differ.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let mut changed = self.suspicions.expire(now);
        let due = |record: &&MemberRecord| {
            record.is_removal_pending() && now >= record.earliest_removal()
        };
        let removed: Vec<_> = self.records.values().filter(due).cloned().collect();
        for mut record in removed {
            if record.entry.address != self.own {
                record.entry.state = MemberState::Gone;
                record.source = None;
                self.store(record, now);
                changed = true;
            }
        }
        let expired = |record: &&MemberRecord| {
            record
                .gone_at
                .is_some_and(|at| now - at >= TOMBSTONE_LIFETIME)
        };
        let dropped: Vec<_> = self
            .records
            .values()
            .filter(expired)
            .map(|record| (record.entry.address, record.sequence))
            .collect();
        for (address, sequence) in dropped {
            self.records.remove(&address);
            self.changes.remove(&sequence);
            changed = true;
        }
        changed
    }

    /// Returns the `Gone` entry with which a linked node is to be notified of its removal, if any.
    ///
    /// A live node refutes the entry with a higher incarnation, which protects it from removal at
    /// all nodes that read the list.
    #[must_use]
    pub fn removal_notice(&self, peer: &NodeAddress, now: ClockTime) -> Option<MemberEntry> {
        let record = self.records.get(peer)?;
        let due = record.is_removal_pending() && now + NOTICE_LEAD_TIME >= record.protected_until;
        let state = MemberState::Gone;
        let entry = record.entry.clone();
        (due || entry.state == state).then_some(MemberEntry { state, ..entry })
    }

    /// Returns a node that is about to be removed and should be probed over a new link.
    #[must_use]
    pub fn next_probe(&self, now: ClockTime) -> Option<NodeAddress> {
        let due = |record: &&MemberRecord| {
            record.is_removal_pending() && now + PROBE_LEAD_TIME >= record.earliest_removal()
        };
        let mut records = self.records.values();
        records.find(due).map(|record| record.entry.address)
    }

    fn apply_instance(&mut self, instance: &InstanceEntry, now: ClockTime) {
        let state = match instance.state {
            InstanceState::Live => MemberState::Live,
            InstanceState::Leaving => MemberState::Leaving,
        };
        let entry = MemberEntry {
            address: instance.address,
            admin: instance.admin,
            incarnation: NodeIncarnation(0),
            service: instance.service.clone(),
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            state,
        };
        let held = self.records.get(&instance.address);
        let mut record = held.map_or_else(|| MemberRecord::new(entry.clone()), MemberRecord::clone);
        record.listed = true;
        record.unlisted = false;
        let advanced = record.entry.incarnation.0 == 0 && state > record.entry.state;
        if held.is_none() || advanced {
            record.entry = entry;
            record.source = None;
            self.store(record, now);
        } else {
            self.records.insert(instance.address, record);
        }
    }
}
