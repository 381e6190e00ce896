use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// Size up to which a claim counts as small: an ordinary request or response fits into it. Small claims
/// evict large messages that are incomplete, and may use the reserve.
const SMALL_CLAIM_BYTES: u64 = 64 << 10;
/// Time without progress after which an incomplete message gives way to any other.
const STALL_TIME: ClockTime = ClockTime(1_000);
/// Divisor of the limit that gives the reserve above it, which only small claims use.
const RESERVE_DIVISOR: u64 = 8;

/// Number of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(u64);

/// The claims that are evicted for another one.
pub type EvictedClaims = SmallVec<[ClaimId; 4]>;

/// What is known of a claim.
#[derive(Debug, Clone, Copy)]
struct ClaimEntry {
    size: u64,
    /// Time of the last progress of a message that is incomplete; `None` if it does not give way.
    progress_at: Option<ClockTime>,
    /// Whether the claim is that of a connection of a client.
    is_connection: bool,
}

/// Decides which messages may occupy the memory of a node.
///
/// It answers the load of a crowd of clients that send large messages and stop short of their end: what is
/// incomplete gives way when others need the room, first what is stalled, the largest of it before the rest.
#[derive(Debug)]
pub struct MemoryLedger {
    limit: u64,
    used: u64,
    next_id: u64,
    claims: BTreeMap<ClaimId, ClaimEntry>,
    connection_count: usize,
}

impl MemoryLedger {
    /// Creates a ledger for `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            used: 0,
            next_id: 0,
            claims: BTreeMap::new(),
            connection_count: 0,
        }
    }

    /// Returns the limit in bytes.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the bytes that are claimed.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Adds a claim without bytes.
    pub fn open(&mut self) -> ClaimId {
        let id = ClaimId(self.next_id);
        self.next_id += 1;
        let entry = ClaimEntry {
            size: 0,
            progress_at: None,
            is_connection: false,
        };
        self.claims.insert(id, entry);
        id
    }

    /// Adds the claim of a connection, of which there may be `limit`. At the limit, the connection whose
    /// client has kept it waiting for the longest time is evicted, if that is at least the stall time.
    ///
    /// Returns the claim and the evicted one, or `None` if no connection gives way.
    pub fn open_connection(
        &mut self,
        now: ClockTime,
        limit: usize,
    ) -> Option<(ClaimId, Option<ClaimId>)> {
        let mut evicted = None;
        if self.connection_count >= limit {
            let victim = self.longest_waiting_connection(now)?;
            self.close(victim);
            evicted = Some(victim);
        }
        let id = self.open();
        if let Some(entry) = self.claims.get_mut(&id) {
            entry.is_connection = true;
        }
        self.connection_count += 1;
        Some((id, evicted))
    }

    fn longest_waiting_connection(&self, now: ClockTime) -> Option<ClaimId> {
        let connections = self.claims.iter().filter(|(_, entry)| entry.is_connection);
        connections
            .filter_map(|(id, entry)| Some((entry.progress_at?, *id)))
            .filter(|(progress_at, _)| now - *progress_at >= STALL_TIME)
            .min()
            .map(|(_, id)| id)
    }

    /// Returns the number of connections of clients.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connection_count
    }

    /// Removes a claim.
    pub fn close(&mut self, id: ClaimId) {
        if let Some(entry) = self.claims.remove(&id) {
            self.used -= entry.size;
            self.connection_count -= usize::from(entry.is_connection);
        }
    }

    /// Returns the size of a claim in bytes.
    #[must_use]
    pub fn size(&self, id: ClaimId) -> u64 {
        self.claims.get(&id).map_or(0, |entry| entry.size)
    }

    /// Marks a message as complete, so that it no longer gives way, or as incomplete.
    pub fn set_progress(&mut self, id: ClaimId, progress_at: Option<ClockTime>) {
        if let Some(entry) = self.claims.get_mut(&id) {
            entry.progress_at = progress_at;
        }
    }

    /// Changes the size of a claim; returns the claims that are evicted for it, or `None` if there is no
    /// room. Nothing has changed in that case.
    pub fn resize(&mut self, now: ClockTime, id: ClaimId, size: u64) -> Option<EvictedClaims> {
        let current = self.size(id);
        let is_small = size <= SMALL_CLAIM_BYTES;
        let limit = match is_small {
            true => self.limit + self.limit / RESERVE_DIVISOR,
            false => self.limit,
        };
        let wanted = self.used - current + size;
        let mut evicted = EvictedClaims::new();
        if size > current && wanted > limit {
            evicted = self.victims(now, id, is_small, wanted - limit)?;
            for victim in &evicted {
                self.close(*victim);
            }
        }
        self.used = self.used - current + size;
        // A claim that was evicted begins anew.
        let entry = self.claims.entry(id).or_insert(ClaimEntry {
            size: 0,
            progress_at: None,
            is_connection: false,
        });
        entry.size = size;
        Some(evicted)
    }

    /// Moves bytes of a claim to a new one that does not give way.
    pub fn split(&mut self, id: ClaimId, size: u64) -> ClaimId {
        let new = self.open();
        let available = self.size(id);
        let moved = size.min(available);
        if let Some(entry) = self.claims.get_mut(&id) {
            entry.size -= moved;
        }
        if let Some(entry) = self.claims.get_mut(&new) {
            entry.size = moved;
        }
        new
    }

    /// Returns claims with at least `needed` bytes that give way to the claim `id`.
    fn victims(
        &self,
        now: ClockTime,
        id: ClaimId,
        is_small: bool,
        needed: u64,
    ) -> Option<EvictedClaims> {
        let mut candidates: Vec<(bool, u64, ClaimId)> = self
            .claims
            .iter()
            .filter(|(other, entry)| **other != id && entry.size > 0)
            .filter_map(|(other, entry)| {
                let is_stalled = now - entry.progress_at? >= STALL_TIME;
                let gives_way = is_stalled || (is_small && entry.size > SMALL_CLAIM_BYTES);
                gives_way.then_some((is_stalled, entry.size, *other))
            })
            .collect();
        candidates.sort_unstable_by(|first, second| second.cmp(first));
        let mut evicted = EvictedClaims::new();
        let mut freed = 0;
        for (_, size, victim) in candidates {
            if freed >= needed {
                break;
            }
            freed += size;
            evicted.push(victim);
        }
        (freed >= needed).then_some(evicted)
    }
}
