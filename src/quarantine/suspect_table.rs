use std::cmp::Reverse;
use std::collections::HashMap;

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::quarantine::{CrashId, CrashReport, Fingerprint, SuspectEntry};

/// Weight of a crash of which a request is the sole suspect, where one with others counts 1.
const SOLE_WEIGHT: u32 = 2;
/// Weight and number of crashes from which on a request is kept from endpoints.
const QUARANTINE_WEIGHT: u32 = 3;
const MIN_CRASH_COUNT: usize = 2;
/// Time for which a request is suspected after its last crash, or after the end of its quarantine.
const SUSPICION_TIME: ClockTime = ClockTime(120_000);
/// Time for which a request is kept from endpoints after its last crash, the factor by which each further
/// crash extends it, and its maximum.
const QUARANTINE_TIME: ClockTime = ClockTime(60_000);
const QUARANTINE_FACTOR: u64 = 4;
const MAX_QUARANTINE_TIME: ClockTime = ClockTime(600_000);
/// Rounds in which a node tells others of news. One round to three nodes each misses one node in twenty, and more if
/// some do not respond; two rounds miss one in four hundred.
const NEWS_ROUND_COUNT: u32 = 2;
/// Maximum number of requests in the table.
const MAX_REQUEST_COUNT: usize = 1_024;

/// Requests that were at work when endpoints crashed.
///
/// All requests at work at a crash are suspected of it, and one of them caused it. The culprit is at work at
/// one crash after the other and never runs to its end. A request that does so anywhere after a crash is no
/// longer suspected of that crash, and a crash with a known culprit is no evidence against others. After a
/// time a culprit is admitted again, in case something else was the cause; each crash that follows makes that
/// time longer.
///
/// Tables of different nodes merge in any order to the same result: crashes are only added, and refuted once.
#[derive(Debug, Default)]
pub struct SuspectTable {
    requests: HashMap<Fingerprint, SuspectRecord>,
    /// Requests of which something has become known, and in how many more rounds others are told.
    news: Vec<(Fingerprint, u32)>,
}

#[derive(Debug, Default)]
struct SuspectRecord {
    crashes: SmallVec<[CrashSighting; 4]>,
}

#[derive(Debug, Clone, Copy)]
struct CrashSighting {
    crash: CrashId,
    at: ClockTime,
    is_sole: bool,
    is_refuted: bool,
}

impl SuspectRecord {
    fn counted_crashes(&self) -> impl Iterator<Item = &CrashSighting> {
        self.crashes.iter().filter(|crash| !crash.is_refuted)
    }

    fn is_culprit(&self) -> bool {
        let weights = self.counted_crashes();
        let weights = weights.map(|crash| if crash.is_sole { SOLE_WEIGHT } else { 1 });
        let is_serial = self.counted_crashes().count() >= MIN_CRASH_COUNT;
        is_serial && weights.sum::<u32>() >= QUARANTINE_WEIGHT
    }

    /// Returns the time up to which the request is kept from endpoints.
    fn quarantined_until(&self) -> ClockTime {
        if !self.is_culprit() {
            return ClockTime(0);
        }
        let further = self.counted_crashes().count() - MIN_CRASH_COUNT;
        let time = ClockTime(QUARANTINE_TIME.0 * QUARANTINE_FACTOR.pow(further as u32));
        self.last_crash() + time.min(MAX_QUARANTINE_TIME)
    }

    fn last_crash(&self) -> ClockTime {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }

    fn expires_at(&self) -> ClockTime {
        self.last_crash().max(self.quarantined_until()) + SUSPICION_TIME
    }

    /// Adds a crash; returns true if it was not known.
    fn add(&mut self, sighting: CrashSighting) -> bool {
        let known = self.crashes.iter_mut();
        if let Some(known) = known
            .into_iter()
            .find(|known| known.crash == sighting.crash)
        {
            let is_news = sighting.is_refuted && !known.is_refuted;
            known.is_refuted |= sighting.is_refuted;
            return is_news;
        }
        if self.crashes.len() < SuspectEntry::MAX_CRASH_COUNT {
            self.crashes.push(sighting);
            return true;
        }
        // Refuted crashes make way for others, and never the other way round, so that tables converge.
        let refuted = self.crashes.iter().position(|known| known.is_refuted);
        match refuted.filter(|_| !sighting.is_refuted) {
            Some(index) => {
                self.crashes[index] = sighting;
                true
            }
            None => false,
        }
    }

    fn to_entry(&self, now: ClockTime, request: Fingerprint) -> SuspectEntry {
        let reports = self.crashes.iter().map(|crash| CrashReport {
            crash: crash.crash,
            age: now - crash.at,
            is_sole: crash.is_sole,
            is_refuted: crash.is_refuted,
        });
        SuspectEntry {
            request,
            crashes: reports.collect(),
        }
    }
}

impl SuspectTable {
    /// Returns true if no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests that are kept from endpoints.
    #[must_use]
    pub fn quarantined_count(&self, now: ClockTime) -> usize {
        let records = self.requests.values();
        records
            .filter(|record| now < record.quarantined_until())
            .count()
    }

    /// Returns whether a request is kept from endpoints.
    #[must_use]
    pub fn is_quarantined(&self, now: ClockTime, request: &Fingerprint) -> bool {
        let record = self.requests.get(request);
        record.is_some_and(|record| now < record.quarantined_until())
    }

    /// Returns whether a request is suspected of a crash.
    #[must_use]
    pub fn is_suspected(&self, request: &Fingerprint) -> bool {
        let record = self.requests.get(request);
        record.is_some_and(|record| record.counted_crashes().next().is_some())
    }

    /// Records a crash and the requests that were at work. Returns those that are kept from endpoints from
    /// now on.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        crash: CrashId,
        suspects: &[Fingerprint],
    ) -> SmallVec<[Fingerprint; 4]> {
        let mut suspects: SmallVec<[Fingerprint; 8]> = suspects.into();
        suspects.sort_unstable();
        suspects.dedup();
        // The only one that was at work at an earlier crash is the most likely cause of this one.
        let is_repeated = |request: &&Fingerprint| self.is_suspected(request);
        let mut repeated = suspects.iter().filter(is_repeated).copied();
        let sole = match (repeated.next(), repeated.next()) {
            (Some(request), None) => Some(request),
            _ if suspects.len() == 1 => suspects.first().copied(),
            _ => None,
        };
        drop(repeated);
        let sighting = |request: &Fingerprint| CrashSighting {
            crash,
            at: now,
            is_sole: sole == Some(*request),
            is_refuted: false,
        };
        let is_culprit = |request: &Fingerprint| {
            let record = self.requests.get(request);
            record.is_some_and(SuspectRecord::is_culprit)
        };
        if suspects.iter().any(is_culprit) {
            suspects.retain(|request| is_culprit(request));
        }
        let suspects = suspects.into_iter();
        suspects
            .filter(|request| self.add(now, *request, [sighting(request)]))
            .collect()
    }

    /// Records that a request has run to its end, whatever the response. Returns true if that refutes that it
    /// caused a crash.
    pub fn record_completion(&mut self, request: &Fingerprint) -> bool {
        let Some(record) = self.requests.get_mut(request) else {
            return false;
        };
        let mut is_news = false;
        for crash in &mut record.crashes {
            is_news |= !crash.is_refuted;
            crash.is_refuted = true;
        }
        if is_news {
            self.note(*request);
        }
        is_news
    }

    /// Merges what another node knows. Returns the requests that are kept from endpoints from now on.
    pub fn merge<Entries>(&mut self, now: ClockTime, entries: Entries) -> SmallVec<[Fingerprint; 4]>
    where
        Entries: IntoIterator<Item = SuspectEntry>,
    {
        let mut quarantined = SmallVec::new();
        for entry in entries {
            let crashes = entry.crashes.iter();
            let crashes: SmallVec<[CrashSighting; 4]> = crashes
                .filter(|report| report.age < MAX_QUARANTINE_TIME)
                .take(SuspectEntry::MAX_CRASH_COUNT)
                .map(|report| CrashSighting {
                    crash: report.crash,
                    at: now - report.age,
                    is_sole: report.is_sole,
                    is_refuted: report.is_refuted,
                })
                .collect();
            if !crashes.is_empty() && self.add(now, entry.request, crashes) {
                quarantined.push(entry.request);
            }
        }
        quarantined
    }

    /// Adds crashes of a request; returns true if it is kept from endpoints from now on.
    fn add<Crashes>(&mut self, now: ClockTime, request: Fingerprint, crashes: Crashes) -> bool
    where
        Crashes: IntoIterator<Item = CrashSighting>,
    {
        let is_known = self.requests.contains_key(&request);
        let mut record = self.requests.remove(&request).unwrap_or_default();
        let was_quarantined = now < record.quarantined_until();
        let mut is_news = false;
        for crash in crashes {
            is_news |= record.add(crash);
        }
        let is_quarantined = now < record.quarantined_until();
        let is_current = now < record.expires_at();
        if is_known || is_current && self.make_room(record.crashes.len()) {
            self.requests.insert(request, record);
            if is_news {
                self.note(request);
            }
            return is_quarantined && !was_quarantined;
        }
        false
    }

    /// Makes room for a new request with this number of crashes; returns false if there is none.
    ///
    /// In a full table, a request with one crash displaces nothing: it would return from the tables of other
    /// nodes and displace others without end.
    fn make_room(&mut self, crash_count: usize) -> bool {
        if self.requests.len() < MAX_REQUEST_COUNT {
            return true;
        }
        if crash_count < MIN_CRASH_COUNT {
            return false;
        }
        let single = self.requests.iter();
        let single = single.filter(|(_, record)| record.crashes.len() < MIN_CRASH_COUNT);
        let oldest = single.min_by_key(|(_, record)| record.last_crash());
        let Some(request) = oldest.map(|(request, _)| *request) else {
            return false;
        };
        self.requests.remove(&request);
        true
    }

    fn note(&mut self, request: Fingerprint) {
        self.news.retain(|(known, _)| *known != request);
        self.news.push((request, NEWS_ROUND_COUNT));
    }

    /// Returns at most `limit` requests of which something has become known. Each is returned in
    /// `NEWS_ROUND_COUNT` rounds, those that are new first.
    pub fn take_news(&mut self, now: ClockTime, limit: usize) -> Vec<SuspectEntry> {
        self.news.sort_by_key(|(_, rounds)| Reverse(*rounds));
        let rest = self.news.split_off(limit.min(self.news.len()));
        let mut news = std::mem::replace(&mut self.news, rest);
        let records = news.iter().filter_map(|(request, _)| {
            let record = self.requests.get(request)?;
            Some(record.to_entry(now, *request))
        });
        let entries = records.collect();
        for (_, rounds) in &mut news {
            *rounds -= 1;
        }
        self.news
            .extend(news.into_iter().filter(|(_, rounds)| *rounds > 0));
        entries
    }

    /// Returns at most `limit` requests, those that are kept from endpoints first.
    #[must_use]
    pub fn entries(&self, now: ClockTime, limit: usize) -> Vec<SuspectEntry> {
        let (culprits, others): (Vec<_>, Vec<_>) = self
            .requests
            .iter()
            .partition(|(_, record)| record.is_culprit());
        let records = culprits.into_iter().chain(others).take(limit);
        records
            .map(|(request, record)| record.to_entry(now, *request))
            .collect()
    }

    /// Returns at most `limit` requests that are kept from endpoints.
    #[must_use]
    pub fn quarantined_entries(&self, now: ClockTime, limit: usize) -> Vec<SuspectEntry> {
        let records = self.requests.iter();
        let records = records.filter(|(_, record)| now < record.quarantined_until());
        let entries = records.map(|(request, record)| record.to_entry(now, *request));
        entries.take(limit).collect()
    }

    /// Forgets the requests whose last crash lies too far back.
    pub fn expire(&mut self, now: ClockTime) {
        self.requests.retain(|_, record| now < record.expires_at());
    }
}
