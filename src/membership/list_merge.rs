use std::collections::HashSet;

use crate::clock::ClockTime;
use crate::id::NodeIncarnation;
use crate::membership::member_record::MemberRecord;
use crate::membership::{MemberEntry, MemberState, MemberTable};
use crate::platform::{InstanceEntry, InstanceList, InstanceState};

/// Lifetime of a tombstone; a key may be asked for this long after the call that used it.
const TOMBSTONE_LIFETIME: ClockTime = ClockTime(600_000);

impl MemberTable {
    /// Merges the platform's list and returns whether the table changed.
    ///
    /// A list that is not newer than the last one is ignored. A node that a list no longer has is
    /// removed by [`MemberTable::expire`] once it was not heard for 30 s.
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
                record.unlisted = true;
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
            record.unlisted && record.gone_at.is_none() && !record.is_heard(now)
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
