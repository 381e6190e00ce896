//! A node that follows a simulated registry and other nodes, one message at a time.

use std::collections::{HashMap, HashSet};

use endivelanding::clock::ClockTime;
use endivelanding::id::EndpointId;
use endivelanding::mesh::{DirectoryDelta, HistoryEra, HistoryPosition, ServiceDirectory};

use crate::mesh_records::name;
use crate::simulated_registry::{SimulatedChange, SimulatedRead, SimulatedRegistry};

/// Time after a restore within which lost endpoints register again.
pub const REREGISTRATION_WINDOW: ClockTime = ClockTime(2_500);

/// State of the directory of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FollowerCursor {
    process: u64,
    number: u64,
}

/// A request for a view, and the reply while it is under way.
pub struct ViewQuery {
    pub source: usize,
    cursor: Option<FollowerCursor>,
    position: HistoryPosition,
    reply: Option<FollowerReply>,
}

struct FollowerReply {
    cursor: FollowerCursor,
    position: HistoryPosition,
    listed_position: HistoryPosition,
    seen_position: HistoryPosition,
    read_at: Option<ClockTime>,
    version: u64,
    delta: DirectoryDelta,
}

/// A response of the registry that is under way.
enum RegistryResponse {
    Watch(Option<SimulatedRead>),
    FirstPage(ClockTime, SimulatedRead),
    AllPages(ClockTime, Option<SimulatedRead>),
    Config(PendingRead, HistoryPosition, u64),
}

/// A full read whose endpoints have been applied and whose configuration has not.
#[derive(Clone, Copy)]
struct PendingRead {
    started_at: ClockTime,
    position: HistoryPosition,
}

/// A node of the simulation. It follows the same rules as the synchronization task of a node.
pub struct SimulatedFollower {
    pub directory: ServiceDirectory,
    pub version: u64,
    process: u64,
    read_mark: Option<(HistoryEra, ClockTime)>,
    position: Option<HistoryPosition>,
    pending: Option<PendingRead>,
    cursors: HashMap<usize, FollowerCursor>,
    response: Option<RegistryResponse>,
    queries: Vec<ViewQuery>,
}

impl SimulatedFollower {
    pub fn new(process: u64) -> Self {
        Self {
            directory: ServiceDirectory::new(),
            version: 0,
            process,
            read_mark: None,
            position: None,
            pending: None,
            cursors: HashMap::new(),
            response: None,
            queries: Vec::new(),
        }
    }

    /// Takes the next step of a read of the registry: receives the response that is under way, or
    /// sends a request.
    pub fn step_registry(&mut self, now: ClockTime, registry: &SimulatedRegistry) {
        match self.response.take() {
            None => {
                self.response = Some(match (self.pending, self.position) {
                    (Some(pending), _) => {
                        RegistryResponse::Config(pending, registry.position(), registry.version())
                    }
                    (None, Some(position)) => RegistryResponse::Watch(registry.watch(position)),
                    (None, None) => RegistryResponse::FirstPage(now, registry.first_page()),
                });
            }
            Some(RegistryResponse::FirstPage(started_at, mut first)) => {
                let second = registry.second_page();
                let is_same_era = second
                    .as_ref()
                    .is_none_or(|second| second.position.era == first.position.era);
                if let Some(second) = second {
                    first.last_position = second.position;
                    first.changes.extend(second.changes);
                }
                let read = is_same_era.then_some(first);
                self.response = Some(RegistryResponse::AllPages(started_at, read));
            }
            Some(RegistryResponse::Watch(read)) => {
                match read.filter(|read| self.is_current(read.position)) {
                    Some(read) => self.apply_watch(now, read),
                    None => self.forget_position(),
                }
            }
            Some(RegistryResponse::AllPages(started_at, read)) => {
                match read.filter(|read| self.is_current(read.position)) {
                    Some(read) => self.apply_list(now, started_at, read),
                    None => self.forget_position(),
                }
            }
            Some(RegistryResponse::Config(pending, position, version)) => {
                if position.era != pending.position.era || !self.is_current(pending.position) {
                    self.forget_position();
                    return;
                }
                self.version = self.version.max(version);
                self.directory.advance(pending.position);
                self.position = Some(pending.position);
                self.pending = None;
                self.mark_fresh(pending.position.era, pending.started_at);
                self.end_refresh();
            }
        }
    }

    /// Sends a request for a view unless one to the same node is under way.
    pub fn request_view(&mut self, source: usize) {
        if self.queries.iter().any(|query| query.source == source) {
            return;
        }
        self.queries.push(ViewQuery {
            source,
            cursor: self.cursors.get(&source).copied(),
            position: self.directory.listed_position(),
            reply: None,
        });
    }

    /// Removes a request for a view that is under way.
    pub fn take_query(&mut self, number: usize) -> Option<ViewQuery> {
        let index = number.checked_rem(self.queries.len())?;
        Some(self.queries.swap_remove(index))
    }

    /// Takes the next step of a request for a view: lets the other node reply, or receives the reply.
    pub fn step_query(&mut self, now: ClockTime, source: &Self, mut query: ViewQuery) {
        match query.reply.take() {
            None => {
                query.reply = Some(source.reply(&query));
                self.queries.push(query);
            }
            Some(reply) => self.apply_reply(now, query.source, reply),
        }
    }

    fn reply(&self, query: &ViewQuery) -> FollowerReply {
        let listed_position = self.directory.listed_position();
        let since = query
            .cursor
            .filter(|cursor| cursor.process == self.process)
            .map(|cursor| cursor.number)
            .max(self.directory.generation_at(query.position))
            .filter(|_| query.position.era == listed_position.era);
        FollowerReply {
            cursor: FollowerCursor {
                process: self.process,
                number: self.directory.generation(),
            },
            position: self.directory.position(),
            listed_position,
            seen_position: self.directory.seen_position(),
            read_at: self.read_mark.map(|(_, read_at)| read_at),
            version: self.version,
            delta: self.directory.delta(since),
        }
    }

    fn apply_reply(&mut self, now: ClockTime, source: usize, reply: FollowerReply) {
        let Some(read_at) = reply.read_at else {
            return;
        };
        let previous_mark = self.read_mark;
        self.version = self.version.max(reply.version);
        let is_older_era = |pending: PendingRead| reply.position.era < pending.position.era;
        if self.pending.is_some_and(is_older_era) {
            return;
        }
        let pending = self
            .pending
            .filter(|pending| reply.position < pending.position);
        if let Some(pending) = pending {
            self.directory.advance(reply.position);
            self.position = Some(reply.position);
            self.pending = None;
            self.mark_fresh(reply.position.era, pending.started_at.min(read_at));
        } else if reply.position >= self.directory.position()
            && reply.listed_position >= self.directory.seen_position()
        {
            let (cursor, position) = (reply.cursor, reply.position);
            self.merge(now, reply);
            self.cursors.insert(source, cursor);
            self.position = Some(position);
            self.pending = None;
            self.mark_fresh(position.era, read_at);
        }
        if self.read_mark > previous_mark {
            self.end_refresh();
        }
    }

    fn merge(&mut self, now: ClockTime, reply: FollowerReply) {
        let is_new_era = self.begin_era(now, reply.listed_position);
        let directory = &mut self.directory;
        let mut listed = HashSet::new();
        let mut missing = Vec::new();
        for (record, is_missing) in reply.delta.present {
            listed.insert(record.id.clone());
            if is_missing {
                missing.push(record.id.clone());
            }
            directory.upsert(now, record.as_ref().clone());
        }
        if !missing.is_empty() {
            directory.keep_missing_until(now + REREGISTRATION_WINDOW);
        }
        for id in missing {
            directory.remove(now, &id);
        }
        let removed: Vec<EndpointId> = if reply.delta.is_snapshot {
            let known = directory.records().map(|record| record.id.clone());
            known.filter(|id| !listed.contains(id)).collect()
        } else {
            reply.delta.removed
        };
        for id in removed {
            if is_new_era {
                directory.remove(now, &id);
            } else {
                directory.remove_immediately(&id);
            }
        }
        directory.record_seen(reply.seen_position);
        if reply.delta.is_snapshot {
            directory.record_full_listing(reply.listed_position);
        }
        directory.record_listing(reply.listed_position);
        directory.advance(reply.position);
    }

    fn begin_era(&mut self, now: ClockTime, position: HistoryPosition) -> bool {
        if position.era <= self.directory.listed_position().era {
            return false;
        }
        if self.read_mark.is_none() {
            return false;
        }
        self.directory
            .keep_missing_until(now + REREGISTRATION_WINDOW);
        true
    }

    fn apply_watch(&mut self, now: ClockTime, read: SimulatedRead) {
        self.position = self.position.max(Some(read.position));
        let position = read.position;
        self.apply(now, read);
        self.directory.advance(position);
        self.mark_fresh(position.era, now);
        self.end_refresh();
    }

    fn apply_list(&mut self, now: ClockTime, started_at: ClockTime, read: SimulatedRead) {
        let position = read.position;
        if position < self.directory.listed_position() {
            return;
        }
        self.begin_era(now, position);
        self.pending = Some(PendingRead {
            started_at,
            position,
        });
        let last_position = read.last_position;
        let listed = self.apply(now, read);
        self.directory.retain(now, &listed);
        self.directory.record_seen(last_position);
        self.directory.record_full_listing(position);
    }

    fn apply(&mut self, now: ClockTime, read: SimulatedRead) -> HashSet<EndpointId> {
        let mut listed = HashSet::new();
        let is_behind = read.position < self.directory.listed_position();
        for change in read.changes {
            match change {
                _ if is_behind && !matches!(change, SimulatedChange::Config(_)) => {}
                SimulatedChange::Config(version) => self.version = self.version.max(version),
                SimulatedChange::Endpoint(record) => {
                    listed.insert(record.id.clone());
                    self.directory.upsert(now, record);
                }
                SimulatedChange::Removed(index) => {
                    self.directory.remove(now, &name(&format!("i-{index}")));
                }
            }
        }
        listed
    }

    /// Returns true if a position is not of an earlier era than the directory.
    fn is_current(&self, position: HistoryPosition) -> bool {
        position.era >= self.directory.listed_position().era
    }

    fn forget_position(&mut self) {
        self.position = None;
        self.pending = None;
    }

    fn mark_fresh(&mut self, era: HistoryEra, read_at: ClockTime) {
        self.read_mark = self.read_mark.max(Some((era, read_at)));
    }

    /// Drops the messages under way, as a refresh does that has succeeded.
    fn end_refresh(&mut self) {
        self.response = None;
        self.queries.clear();
    }
}
