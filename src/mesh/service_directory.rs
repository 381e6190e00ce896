use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::id::{EndpointId, ServiceName};
use crate::mesh::{EndpointRecord, EndpointState};

/// Is a change of what the directory says of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryEvent {
    /// The endpoint accepts new work.
    Ready(EndpointId),
    /// The endpoint accepts no new work.
    Draining(EndpointId),
    /// The entry is missing after an outage of the registry and may come back.
    Missing(EndpointId),
    /// The endpoint is gone.
    Gone(EndpointId),
}

impl DirectoryEvent {
    /// Returns the endpoint that the event concerns.
    #[must_use]
    pub fn endpoint(&self) -> &EndpointId {
        match self {
            Self::Ready(id) | Self::Draining(id) | Self::Missing(id) | Self::Gone(id) => id,
        }
    }

    /// Returns the name of the event for logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Ready(_) => "ready",
            Self::Draining(_) => "draining",
            Self::Missing(_) => "missing",
            Self::Gone(_) => "gone",
        }
    }
}

/// Is what changed in a directory since an earlier state of it.
#[derive(Debug)]
pub struct DirectoryDelta {
    /// Whether the list is all that the directory holds.
    pub is_snapshot: bool,
    /// Endpoints, and whether the registry lost their entry in an outage.
    pub present: Vec<(Rc<EndpointRecord>, bool)>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
}

/// Changes that are remembered; a node that is further behind gets the whole directory.
const CHANGE_LOG_LIMIT: usize = 1_024;

/// Endpoints that are remembered as gone. An identifier is 64 bytes at most, so they take less than
/// a megabyte; a request for a forgotten one is refused by the endpoint itself.
const TOMBSTONE_LIMIT: usize = 4_096;

#[derive(Debug)]
struct DirectoryEntry {
    record: Rc<EndpointRecord>,
    warm_at: ClockTime,
    missing: bool,
}

/// Holds the endpoints of all services as the registry reports them.
///
/// Entries that expired while the registry was away come back shortly after its return. The
/// directory therefore keeps missing entries until the settle time after an outage is over.
#[derive(Debug, Default)]
pub struct ServiceDirectory {
    entries: BTreeMap<EndpointId, DirectoryEntry>,
    services: HashMap<ServiceName, Vec<EndpointId>>,
    addresses: HashMap<SocketAddr, EndpointId>,
    gone: HashMap<EndpointId, Rc<EndpointRecord>>,
    changes: VecDeque<EndpointId>,
    number: u64,
    keep_missing_until: ClockTime,
    position: u64,
}

impl ServiceDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps entries that are found missing before `until`.
    pub fn keep_missing_until(&mut self, until: ClockTime) {
        self.keep_missing_until = self.keep_missing_until.max(until);
    }

    /// Returns the position in the registry's history that the directory reflects.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Records that the directory reflects the registry up to a position.
    pub fn advance(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Records what an endpoint published; older reports of the same endpoint change nothing.
    pub fn publish(&mut self, now: ClockTime, record: EndpointRecord) -> Option<DirectoryEvent> {
        let id = record.id.clone();
        let held = self.entries.get(&id);
        let newest = held.map(|held| &held.record).or_else(|| self.gone.get(&id));
        if newest.is_some_and(|newest| record.is_older_than(newest)) {
            return None;
        }
        let unchanged = held.is_some_and(|held| {
            held.record.state == record.state && held.record.born == record.born && !held.missing
        });
        let state = record.state;
        let warm_at = now + record.warm_up;
        let moved = held.is_none_or(|held| held.record.service != record.service);
        if moved {
            self.unlist(&id);
            let listed = self.services.entry(record.service.clone()).or_default();
            listed.push(id.clone());
        }
        let entry = DirectoryEntry {
            record: Rc::new(record),
            warm_at,
            missing: false,
        };
        self.claim_address(&entry.record);
        self.entries.insert(id.clone(), entry);
        self.gone.remove(&id);
        if !unchanged {
            self.note_change(&id);
        }
        match state {
            _ if unchanged => None,
            EndpointState::Ready => Some(DirectoryEvent::Ready(id)),
            EndpointState::Draining => Some(DirectoryEvent::Draining(id)),
        }
    }

    /// Records that the entry of an endpoint is gone.
    pub fn remove(&mut self, now: ClockTime, id: &EndpointId) -> Option<DirectoryEvent> {
        let entry = self.entries.get_mut(id)?;
        if now < self.keep_missing_until && entry.record.state == EndpointState::Ready {
            let known = std::mem::replace(&mut entry.missing, true);
            self.note_change(id);
            return (!known).then(|| DirectoryEvent::Missing(id.clone()));
        }
        self.forget(id);
        Some(DirectoryEvent::Gone(id.clone()))
    }

    /// Removes what a snapshot of the registry does not name.
    pub fn retain(&mut self, now: ClockTime, named: &HashSet<EndpointId>) -> Vec<DirectoryEvent> {
        let absent: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !named.contains(id))
            .cloned()
            .collect();
        absent
            .iter()
            .filter_map(|id| self.remove(now, id))
            .collect()
    }

    /// Removes the entries that are still missing after the settle time.
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
            self.forget(id);
        }
        missing.into_iter().map(DirectoryEvent::Gone).collect()
    }

    /// Returns the endpoints of a service that accept new work.
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

    /// Returns whether no later incarnation has taken the address of an endpoint.
    ///
    /// The entry of a crashed endpoint stays for some heartbeats, while another one may already
    /// have started at its address.
    #[must_use]
    pub fn is_current(&self, record: &EndpointRecord) -> bool {
        self.addresses.get(&record.address) == Some(&record.id)
    }

    /// Returns the record of an endpoint.
    #[must_use]
    pub fn record(&self, id: &EndpointId) -> Option<&Rc<EndpointRecord>> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// Returns the time until the endpoint is as fast as the others.
    #[must_use]
    pub fn warm_up(&self, id: &EndpointId, now: ClockTime) -> ClockTime {
        self.entries
            .get(id)
            .map_or(ClockTime(0), |entry| entry.warm_at - now)
    }

    /// Returns the records of all endpoints, in the order of their identifiers.
    pub fn records(&self) -> impl Iterator<Item = &Rc<EndpointRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if the endpoint was known and is gone.
    #[must_use]
    pub fn is_gone(&self, id: &EndpointId) -> bool {
        self.gone.contains_key(id)
    }

    /// Removes an endpoint that another node knows to be gone.
    pub fn discard(&mut self, id: &EndpointId) -> Option<DirectoryEvent> {
        self.entries.contains_key(id).then(|| {
            self.forget(id);
            DirectoryEvent::Gone(id.clone())
        })
    }

    /// Returns the number of the last change.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns what changed since the change of a number.
    #[must_use]
    pub fn delta(&self, since: Option<u64>) -> DirectoryDelta {
        let count = since.and_then(|since| self.number.checked_sub(since));
        let count = count.and_then(|count| usize::try_from(count).ok());
        let Some(count) = count.filter(|count| *count <= self.changes.len()) else {
            let entries = self.entries.values();
            return DirectoryDelta {
                is_snapshot: true,
                present: entries
                    .map(|entry| (Rc::clone(&entry.record), entry.missing))
                    .collect(),
                removed: Vec::new(),
            };
        };
        let recent: HashSet<_> = self.changes.iter().rev().take(count).collect();
        let mut delta = DirectoryDelta {
            is_snapshot: false,
            present: Vec::new(),
            removed: Vec::new(),
        };
        for id in recent {
            match self.entries.get(id) {
                Some(entry) => delta
                    .present
                    .push((Rc::clone(&entry.record), entry.missing)),
                None => delta.removed.push(id.clone()),
            }
        }
        delta
    }

    fn note_change(&mut self, id: &EndpointId) {
        self.number += 1;
        self.changes.push_back(id.clone());
        if self.changes.len() > CHANGE_LOG_LIMIT {
            self.changes.pop_front();
        }
    }

    fn claim_address(&mut self, record: &EndpointRecord) {
        let holder = self.addresses.get(&record.address);
        let later = holder
            .and_then(|id| self.entries.get(id))
            .is_some_and(|holder| {
                holder.record.id != record.id
                    && holder.record.address == record.address
                    && holder.record.born > record.born
            });
        if !later {
            self.addresses.insert(record.address, record.id.clone());
        }
    }

    /// Gives the address of an endpoint that is gone to the latest other one that names it.
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

    fn forget(&mut self, id: &EndpointId) {
        self.unlist(id);
        self.note_change(id);
        if let Some(entry) = self.entries.remove(id) {
            self.release_address(&entry.record);
            if self.gone.len() >= TOMBSTONE_LIMIT {
                self.gone.clear();
            }
            self.gone.insert(id.clone(), entry.record);
        }
    }

    fn unlist(&mut self, id: &EndpointId) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if let Some(listed) = self.services.get_mut(&entry.record.service) {
            listed.retain(|other| other != id);
        }
    }
}
