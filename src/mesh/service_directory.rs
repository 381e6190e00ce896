use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::id::{EndpointId, ServiceName};
use crate::mesh::change_log::ChangeLog;
use crate::mesh::tombstones::Tombstones;
use crate::mesh::{DirectoryDelta, DirectoryEvent, EndpointRecord, EndpointState, HistoryPosition};

/// An endpoint in the directory.
#[derive(Debug)]
struct DirectoryEntry {
    record: Rc<EndpointRecord>,
    warm_up_end: ClockTime,
    missing: bool,
    /// Whether an older record was refused during the reregistration window.
    is_ahead: bool,
}

/// The endpoints of all services as reported by the registry.
///
/// Entries that expire during a registry outage are registered again shortly after it ends. The
/// directory therefore keeps missing entries until the reregistration window is over.
#[derive(Debug, Default)]
pub struct ServiceDirectory {
    entries: BTreeMap<EndpointId, DirectoryEntry>,
    services: HashMap<ServiceName, Vec<EndpointId>>,
    addresses: HashMap<SocketAddr, EndpointId>,
    tombstones: Tombstones,
    change_log: ChangeLog,
    keep_missing_until: ClockTime,
    position: HistoryPosition,
    /// Position that the endpoints reflect, at least `position`.
    listed_position: HistoryPosition,
    /// Latest position of which the endpoints may reflect a change, at least `listed_position`.
    seen_position: HistoryPosition,
}

impl ServiceDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps ready entries that are found missing before `until`, instead of removing them
    /// immediately.
    pub fn keep_missing_until(&mut self, until: ClockTime) {
        self.keep_missing_until = self.keep_missing_until.max(until);
    }

    /// Returns the time until which ready entries that are missing are kept.
    #[must_use]
    pub fn missing_kept_until(&self) -> ClockTime {
        self.keep_missing_until
    }

    /// Returns the position in the registry's history that the directory reflects.
    #[must_use]
    pub fn position(&self) -> HistoryPosition {
        self.position
    }

    /// Records that the directory reflects the registry up to a position.
    pub fn advance(&mut self, position: HistoryPosition) {
        self.position = self.position.max(position);
        self.record_listing(position);
    }

    /// Returns the position that the endpoints reflect. It is later than that of the directory while
    /// the configuration of the same position is not known.
    #[must_use]
    pub fn listed_position(&self) -> HistoryPosition {
        self.listed_position
    }

    /// Returns whether the configuration may lack changes that the registry made before the latest ones
    /// of the endpoints.
    #[must_use]
    pub fn lacks_config(&self) -> bool {
        self.position < self.listed_position
    }

    /// Records that the endpoints reflect the registry up to a position, at the end of a read.
    pub fn record_listing(&mut self, position: HistoryPosition) {
        self.listed_position = self.listed_position.max(position);
        self.seen_position = self.seen_position.max(position);
        // Until then, reads repeat changes that later pages of a list have shown.
        if self.listed_position == self.seen_position {
            self.tombstones.end_read();
        }
        self.change_log.record_position(self.seen_position);
    }

    /// Returns the latest position of which the endpoints may reflect a change. It is later than the
    /// position that they reflect if the list was read in several pages.
    #[must_use]
    pub fn seen_position(&self) -> HistoryPosition {
        self.seen_position
    }

    /// Records that the endpoints may reflect changes up to a position.
    pub fn record_seen(&mut self, position: HistoryPosition) {
        self.seen_position = self.seen_position.max(position);
    }

    /// Records that the endpoints were replaced by a full list that reflects a position.
    ///
    /// The list does not tell which endpoints came and went since the last position, so deltas from
    /// earlier generations are no longer complete.
    pub fn record_full_listing(&mut self, position: HistoryPosition) {
        self.change_log.record_gap();
        self.record_listing(position);
    }

    /// Returns the latest known generation that reflects nothing after a position. A directory that
    /// reflects the registry up to that position lacks only the changes since this generation.
    #[must_use]
    pub fn generation_at(&self, position: HistoryPosition) -> Option<u64> {
        self.change_log.generation_at(position)
    }

    /// Inserts or updates the record of an endpoint, unless a newer one is known.
    ///
    /// Returns an event if the state or the incarnation of the endpoint changed, or if its entry
    /// was missing.
    pub fn upsert(&mut self, now: ClockTime, record: EndpointRecord) -> Option<DirectoryEvent> {
        let id = record.id.clone();
        let held = self.entries.get(&id);
        let is_outdated = match held {
            Some(held) => record.is_older_than(&held.record),
            None => self.tombstones.rejects(&record),
        };
        if is_outdated {
            if let Some(held) = self.entries.get_mut(&id) {
                held.is_ahead |= now < self.keep_missing_until;
            }
            return None;
        }
        let unchanged = held.is_some_and(|held| {
            held.record.state == record.state && held.record.born == record.born && !held.missing
        });
        let is_ahead = held.is_some_and(|held| held.is_ahead);
        let is_newer = held.is_none_or(|held| held.record.is_older_than(&record));
        let is_resized = held.is_some_and(|held| held.record.capacity != record.capacity);
        // A directory that has seen the entry missing in between needs the change.
        let is_registered_again =
            held.is_some_and(|held| held.record.registered != record.registered);
        // Reports are up to a heartbeat old, so only a longer time is a new one.
        let is_cold_again = record.warm_up > ClockTime(0)
            && held.is_some_and(|held| held.warm_up_end < now && held.record.born == record.born);
        let state = record.state;
        let warm_up_end = now + record.warm_up;
        let service_changed = held.is_none_or(|held| held.record.service != record.service);
        if service_changed {
            self.remove_from_service(&id);
            let listed = self.services.entry(record.service.clone()).or_default();
            listed.push(id.clone());
        }
        let entry = DirectoryEntry {
            record: Rc::new(record),
            warm_up_end,
            missing: false,
            is_ahead: false,
        };
        self.claim_address(&entry.record);
        self.entries.insert(id.clone(), entry);
        self.tombstones.remove(&id);
        // Another directory at this position may hold the older record of a copy.
        let is_written_again = is_newer && now < self.keep_missing_until || is_ahead;
        if !unchanged || is_resized || is_registered_again || is_cold_again || is_written_again {
            self.change_log.record(&id);
        }
        match state {
            _ if unchanged => is_cold_again.then_some(DirectoryEvent::Cold(id)),
            EndpointState::Ready => Some(DirectoryEvent::Ready(id)),
            EndpointState::Draining => Some(DirectoryEvent::Draining(id)),
        }
    }

    /// Removes an endpoint whose registry entry was removed.
    ///
    /// During the reregistration window, a ready endpoint is only flagged as missing. An unknown
    /// endpoint is recorded as a change too: a node that follows this one may know it.
    pub fn remove(&mut self, now: ClockTime, id: &EndpointId) -> Option<DirectoryEvent> {
        if !self.entries.contains_key(id) {
            self.change_log.record(id);
        }
        let entry = self.entries.get_mut(id)?;
        if now < self.keep_missing_until && entry.record.state == EndpointState::Ready {
            let was_missing = std::mem::replace(&mut entry.missing, true);
            self.change_log.record(id);
            return (!was_missing).then(|| DirectoryEvent::Missing(id.clone()));
        }
        self.evict(id);
        Some(DirectoryEvent::Gone(id.clone()))
    }

    /// Removes the endpoints that are not listed in a registry snapshot.
    pub fn retain(&mut self, now: ClockTime, listed: &HashSet<EndpointId>) -> Vec<DirectoryEvent> {
        let absent: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        absent
            .iter()
            .filter_map(|id| self.remove(now, id))
            .collect()
    }

    /// Removes the entries that are still missing at the end of the reregistration window.
    pub fn expire(&mut self, now: ClockTime) -> Vec<DirectoryEvent> {
        if now < self.keep_missing_until {
            return Vec::new();
        }
        let missing: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.missing)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.evict(id);
        }
        self.tombstones.end_read();
        missing.into_iter().map(DirectoryEvent::Gone).collect()
    }

    /// Returns the endpoints of a service that accept new requests.
    pub fn ready<'a>(
        &'a self,
        service: &ServiceName,
    ) -> impl Iterator<Item = &'a Rc<EndpointRecord>> + use<'a> {
        let listed = self.services.get(service).map(Vec::as_slice);
        listed
            .unwrap_or_default()
            .iter()
            .filter_map(|id| self.entries.get(id))
            .map(|entry| &entry.record)
            .filter(|record| record.state == EndpointState::Ready && self.is_current(record))
    }

    /// Returns true if no later incarnation has taken over the address of the endpoint.
    ///
    /// The entry of a crashed endpoint stays in the registry for several heartbeats, while another
    /// endpoint may already have started at the same address.
    #[must_use]
    pub fn is_current(&self, record: &EndpointRecord) -> bool {
        self.addresses.get(&record.address) == Some(&record.id)
    }

    /// Returns the record of an endpoint.
    #[must_use]
    pub fn record(&self, id: &EndpointId) -> Option<&Rc<EndpointRecord>> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// Returns the remaining warm-up time of an endpoint.
    #[must_use]
    pub fn warm_up(&self, id: &EndpointId, now: ClockTime) -> ClockTime {
        self.entries
            .get(id)
            .map_or(ClockTime(0), |entry| entry.warm_up_end - now)
    }

    /// Returns the records of all endpoints, ordered by identifier.
    pub fn records(&self) -> impl Iterator<Item = &Rc<EndpointRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the directory contains no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if the endpoint was known and has been removed.
    #[must_use]
    pub fn is_gone(&self, id: &EndpointId) -> bool {
        self.tombstones.contains(id)
    }

    /// Removes an endpoint that another node reports as removed, even during the reregistration
    /// window.
    ///
    /// An unknown endpoint is recorded as a change too: a node that follows this one may know it.
    pub fn remove_immediately(&mut self, id: &EndpointId) -> Option<DirectoryEvent> {
        if !self.entries.contains_key(id) {
            self.change_log.record(id);
            return None;
        }
        self.evict(id);
        Some(DirectoryEvent::Gone(id.clone()))
    }

    /// Returns the number of changes so far.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.change_log.generation()
    }

    /// Returns the changes since a generation, or the full content if not all of them are known.
    #[must_use]
    pub fn delta(&self, since: Option<u64>) -> DirectoryDelta {
        let changed = since.and_then(|since| self.change_log.changed_since(since));
        let Some(changed) = changed else {
            let entries = self.entries.values();
            return DirectoryDelta {
                is_snapshot: true,
                present: entries
                    .map(|entry| (Rc::clone(&entry.record), entry.missing))
                    .collect(),
                removed: Vec::new(),
            };
        };
        let mut delta = DirectoryDelta {
            is_snapshot: false,
            present: Vec::new(),
            removed: Vec::new(),
        };
        for id in changed {
            match self.entries.get(id) {
                Some(entry) => delta
                    .present
                    .push((Rc::clone(&entry.record), entry.missing)),
                None => delta.removed.push(id.clone()),
            }
        }
        delta
    }

    /// Maps an address to the record that names it, unless a later incarnation holds it.
    fn claim_address(&mut self, record: &EndpointRecord) {
        let holder = self.addresses.get(&record.address);
        let is_held_by_later = holder
            .and_then(|id| self.entries.get(id))
            .is_some_and(|holder| {
                holder.record.id != record.id
                    && holder.record.address == record.address
                    && holder.record.born > record.born
            });
        if !is_held_by_later {
            self.addresses.insert(record.address, record.id.clone());
        }
    }

    /// Reassigns the address of a removed endpoint to the latest incarnation among the others that
    /// name it.
    fn release_address(&mut self, record: &EndpointRecord) {
        if !self.is_current(record) {
            return;
        }
        let successor = self
            .entries
            .values()
            .filter(|entry| entry.record.address == record.address)
            .max_by_key(|entry| entry.record.born)
            .map(|entry| entry.record.id.clone());
        match successor {
            Some(id) => self.addresses.insert(record.address, id),
            None => self.addresses.remove(&record.address),
        };
    }

    /// Removes an entry and remembers its record as a tombstone.
    fn evict(&mut self, id: &EndpointId) {
        self.remove_from_service(id);
        self.change_log.record(id);
        if let Some(entry) = self.entries.remove(id) {
            self.release_address(&entry.record);
            self.tombstones.insert(id, entry.record);
        }
    }

    fn remove_from_service(&mut self, id: &EndpointId) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if let Some(listed) = self.services.get_mut(&entry.record.service) {
            listed.retain(|other| other != id);
        }
    }
}
