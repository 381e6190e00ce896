use std::collections::HashSet;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation};
use crate::membership::member_record::MemberRecord;
use crate::membership::{MemberEntry, MemberState, MemberTable};
use crate::platform::{InstanceEntry, InstanceList, InstanceState};

/// Lifetime of a tombstone; a key may be asked for this long after the call that used it.
const TOMBSTONE_LIFETIME: ClockTime = ClockTime(600_000);
/// Time for which a node that left the list and was not heard lately is kept, so that it can be
/// asked; only its neighbours hear it.
const ASK_TIME: ClockTime = ClockTime(30_000);
/// Time before the removal from which a node that is not linked is asked over a new link.
const PROBE_TIME: ClockTime = ClockTime(20_000);
/// Time before the removal from which a linked node is asked again whether it lives.
const CHALLENGE_TIME: ClockTime = ClockTime(60_000);

impl MemberTable {
    /// Merges the platform's list and returns whether the table changed.
    ///
    /// A list that is not newer than the last one is ignored. A node that a list no longer has is
    /// removed by [`MemberTable::expire`] once it was not heard for 30 s and did not contradict.
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
                let first = !std::mem::replace(&mut record.unlisted, true);
                if first && record.entry.incarnation.0 > 0 && !record.is_heard(now) {
                    record.spared = record.spared.max(now + ASK_TIME);
                }
            }
        }
        self.expire(now);
        self.sequence != before
    }

    /// Removes nodes that left the list, old tombstones and old suspicions.
    ///
    /// Returns whether a snapshot taken before differs from one taken now.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let mut changed = self.witnesses.expire(now);
        let due = |record: &&MemberRecord| {
            record.is_missing() && !record.is_heard(now) && now >= record.spared
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
        let old = |record: &&MemberRecord| {
            record
                .gone_at
                .is_some_and(|at| now - at >= TOMBSTONE_LIFETIME)
        };
        let dropped: Vec<_> = self
            .records
            .values()
            .filter(old)
            .map(|record| (record.entry.address, record.sequence))
            .collect();
        for (address, sequence) in dropped {
            self.records.remove(&address);
            self.changes.remove(&sequence);
            changed = true;
        }
        changed
    }

    /// Returns what the list says of a linked node, if the node should be told: one that lives
    /// contradicts with a higher incarnation, which spares it at every node that read the list.
    #[must_use]
    pub fn removal_notice(&self, peer: &NodeAddress, now: ClockTime) -> Option<MemberEntry> {
        let record = self.records.get(peer)?;
        let asked = record.is_missing() && now + CHALLENGE_TIME >= record.spared;
        let state = MemberState::Gone;
        let entry = record.entry.clone();
        (asked || entry.state == state).then_some(MemberEntry { state, ..entry })
    }

    /// Returns a node that the list is about to remove and that should be asked over a new link.
    #[must_use]
    pub fn next_probe(&self, now: ClockTime) -> Option<NodeAddress> {
        let due = |record: &&MemberRecord| {
            record.is_missing() && !record.is_heard(now) && now + PROBE_TIME >= record.spared
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
        let newer = record.entry.incarnation.0 == 0 && state > record.entry.state;
        if held.is_none() || newer {
            record.entry = entry;
            record.source = None;
            self.store(record, now);
        } else {
            self.records.insert(instance.address, record);
        }
    }
}
