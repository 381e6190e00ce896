use std::collections::HashMap;

use crate::clock::ClockTime;
use crate::id::EndpointId;

/// Time for which an endpoint that shuts down is remembered. It exceeds the time that it goes on running.
const RETENTION: ClockTime = ClockTime(600_000);
/// Maximum number of endpoints, beyond which the oldest one is forgotten.
const MAX_ENDPOINT_COUNT: usize = 4_096;

/// Incarnations of endpoints that have said that they shut down.
///
/// What an endpoint says of itself outweighs its registry entry, which may be late. Only another incarnation,
/// which has a later start, accepts requests again.
#[derive(Debug, Default)]
pub struct LeavingSet {
    endpoints: HashMap<EndpointId, Departure>,
}

/// An incarnation that shuts down, and when it said so.
#[derive(Debug, Clone, Copy)]
struct Departure {
    born: u64,
    said_at: ClockTime,
}

impl LeavingSet {
    /// Records that the incarnation with this start time shuts down; returns true if that is news.
    pub fn record(&mut self, now: ClockTime, id: &EndpointId, born: u64) -> bool {
        if self.contains(id, born) {
            return false;
        }
        if self.endpoints.len() >= MAX_ENDPOINT_COUNT {
            self.forget_oldest(now);
        }
        let said_at = now;
        self.endpoints
            .insert(id.clone(), Departure { born, said_at });
        true
    }

    /// Returns whether this incarnation, or a later one, has said that it shuts down.
    #[must_use]
    pub fn contains(&self, id: &EndpointId, born: u64) -> bool {
        let departure = self.endpoints.get(id);
        departure.is_some_and(|departure| born <= departure.born)
    }

    fn forget_oldest(&mut self, now: ClockTime) {
        self.endpoints
            .retain(|_, departure| now - departure.said_at < RETENTION);
        if self.endpoints.len() < MAX_ENDPOINT_COUNT {
            return;
        }
        let oldest = self.endpoints.iter();
        let oldest = oldest.min_by_key(|(_, departure)| departure.said_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.endpoints.remove(&id);
        }
    }
}
