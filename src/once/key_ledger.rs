use std::collections::HashMap;

use crate::call::CallAnswer;
use crate::clock::ClockTime;
use crate::id::RequestKey;
use crate::once::key_record::{self, KeyRecord, RecordState};
use crate::once::{KeyLimits, KeyOrigin, KeyStart};
use crate::peer::{FenceReply, FenceRequest};
use crate::size::ByteSize;

/// Time for which records outlive the keys, so that an attempt which was admitted just within the
/// lifetime of its key and is then delayed up to its deadline still finds the record.
const RECORD_MARGIN: ClockTime = ClockTime(60_000);
/// Longest time between two looks at the member table.
const OBSERVE_MARGIN: ClockTime = ClockTime(2_000);
/// Largest answer that is recorded, in bytes.
const LARGEST_ANSWER: usize = 16 * 1_024;

/// States how an attempt ended that has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyEnd {
    /// No byte of the request can have reached the backend server.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Records the keys that an endpoint ran, runs or was fenced for.
///
/// Memory is bounded by refusing new keys and not by forgetting old ones. An answer above 16 KiB,
/// or beyond the total, is recorded as finished without a copy: the key never runs again and later
/// attempts end as "key memory gone".
#[derive(Debug)]
pub struct KeyLedger {
    started: ClockTime,
    limits: KeyLimits,
    settled_seen: Option<ClockTime>,
    records: HashMap<RequestKey, KeyRecord>,
    entry_limit: usize,
    byte_limit: usize,
    answer_bytes: usize,
}

impl KeyLedger {
    /// Creates an empty ledger of a process that started at `started`.
    #[must_use]
    pub fn new(
        started: ClockTime,
        limits: KeyLimits,
        entry_limit: usize,
        byte_limit: ByteSize,
    ) -> Self {
        Self {
            started,
            limits,
            settled_seen: None,
            records: HashMap::new(),
            entry_limit,
            byte_limit: byte_limit.0 as usize,
            answer_bytes: 0,
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that another live endpoint of the service has been up for the settle time.
    ///
    /// It is called at each change of the member table and at least once a second while this is
    /// so. While the service is wholly young, first attempts are accepted at once.
    pub fn observe_settled(&mut self, now: ClockTime) {
        self.settled_seen = Some(now);
    }

    /// Asks to run a key; after `Run` exactly one of `finish` and `abandon` must follow.
    ///
    /// Token 0 is a declared first attempt. Another token runs only if it is the one that last
    /// fenced the key at this process: a restarted process has lost its fences, and a larger token
    /// may have run there.
    pub fn begin(
        &mut self,
        now: ClockTime,
        key: &RequestKey,
        token: u64,
        origin: KeyOrigin,
    ) -> KeyStart {
        self.drop_expired(now, key);
        match self.records.get(key) {
            Some(record) => match &record.state {
                RecordState::Running => return KeyStart::Running,
                RecordState::Unknown | RecordState::Finished(None) => return KeyStart::Unknown,
                RecordState::Finished(Some(answer)) => return KeyStart::Replay(answer.clone()),
                RecordState::Fenced if record.token != token => return KeyStart::Fenced,
                RecordState::Fenced => {}
            },
            None if token > 0 => return KeyStart::Fenced,
            None if self.records.len() >= self.entry_limit => return KeyStart::Full,
            None => {}
        }
        if let Some(wait) = self.settling(now, token, origin) {
            return KeyStart::Settling(wait);
        }
        let record = KeyRecord {
            state: RecordState::Running,
            token,
            private: origin == KeyOrigin::Private,
            expires: self.expiry(now),
        };
        self.records.insert(key.clone(), record);
        KeyStart::Run
    }

    /// Returns the time until this process accepts an attempt with a key made by a caller.
    ///
    /// The process must have been up for the settle time when the attempt began: a fence sent
    /// since then may otherwise have missed it. The exception for a service that was wholly young
    /// at that time holds for first attempts only, and not for those that began before this
    /// process started, as its predecessor may have run a later attempt.
    fn settling(&self, now: ClockTime, token: u64, origin: KeyOrigin) -> Option<ClockTime> {
        let KeyOrigin::Caller { elapsed } = origin else {
            return None;
        };
        let uptime = now - self.started;
        let was_young = self
            .settled_seen
            .is_none_or(|seen| seen + OBSERVE_MARGIN + elapsed < now);
        let exempt = token == 0 && was_young && uptime > elapsed;
        let settled = uptime >= self.limits.settle + elapsed;
        (!exempt && !settled).then(|| self.limits.settle + elapsed - uptime)
    }

    /// Records the whole answer of a key that runs.
    pub fn finish(&mut self, now: ClockTime, key: &RequestKey, answer: &CallAnswer) {
        let bytes = key_record::size_of(answer);
        let fits = bytes <= LARGEST_ANSWER && self.answer_bytes + bytes <= self.byte_limit;
        let copy = fits.then(|| answer.clone());
        self.end(now, key, RecordState::Finished(copy));
    }

    /// Records that a key that runs ended without an answer.
    pub fn abandon(&mut self, now: ClockTime, key: &RequestKey, end: KeyEnd) {
        match end {
            KeyEnd::Unknown => self.end(now, key, RecordState::Unknown),
            KeyEnd::NotRun => {
                self.end(now, key, RecordState::Fenced);
                // A first attempt that did not run leaves nothing to refuse.
                let empty = |record: &KeyRecord| {
                    record.token == 0 && matches!(record.state, RecordState::Fenced)
                };
                if self.records.get(key).is_some_and(empty) {
                    self.records.remove(key);
                }
            }
        }
    }

    fn end(&mut self, now: ClockTime, key: &RequestKey, state: RecordState) {
        let expires = self.expiry(now);
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if !matches!(record.state, RecordState::Running) {
            return;
        }
        if record.private {
            // Nobody else knows the key, and its node never resends what may have run.
            self.records.remove(key);
            return;
        }
        record.state = state;
        record.expires = expires;
        self.answer_bytes += record.answer_bytes();
    }

    /// Answers a fence: reports what became of the key, or refuses smaller tokens from now on.
    pub fn fence(&mut self, now: ClockTime, request: &FenceRequest) -> FenceReply {
        self.drop_expired(now, &request.key);
        let token = match self.records.get(&request.key) {
            Some(record) => match record.state {
                RecordState::Running => return FenceReply::Running,
                RecordState::Finished(_) => return FenceReply::Finished,
                RecordState::Unknown => return FenceReply::Unknown,
                RecordState::Fenced => Some(record.token),
            },
            None => None,
        };
        if token.is_some_and(|token| token > request.token) {
            return FenceReply::Superseded;
        }
        let seen_all = now - self.started > request.age && request.age < self.limits.lifetime;
        let has_place = token.is_some() || self.records.len() < self.entry_limit;
        if !seen_all || !has_place || request.token == 0 {
            return FenceReply::Undetermined;
        }
        let record = KeyRecord {
            state: RecordState::Fenced,
            token: request.token,
            private: false,
            expires: self.expiry(now),
        };
        self.records.insert(request.key.clone(), record);
        FenceReply::Fenced
    }

    /// Drops records past their lifetime; called about once a second.
    pub fn expire(&mut self, now: ClockTime) {
        self.records.retain(|_, record| !record.is_expired(now));
        let records = self.records.values();
        self.answer_bytes = records.map(KeyRecord::answer_bytes).sum();
    }

    fn expiry(&self, now: ClockTime) -> ClockTime {
        now + self.limits.lifetime + RECORD_MARGIN
    }

    fn drop_expired(&mut self, now: ClockTime, key: &RequestKey) {
        if self
            .records
            .get(key)
            .is_some_and(|record| record.is_expired(now))
            && let Some(record) = self.records.remove(key)
        {
            self.answer_bytes -= record.answer_bytes();
        }
    }
}
