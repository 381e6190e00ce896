use std::collections::HashSet;

use crate::clock::ClockTime;
use crate::quarantine::Fingerprint;

/// Time after which the older half of the runs is forgotten.
const GENERATION_TIME: ClockTime = ClockTime(30_000);
/// Maximum number of runs in each half.
const MAX_RUN_COUNT: usize = 1_024;

/// Requests that have recently run to their end at the local endpoint.
///
/// A request that many callers send is at work at most crashes, whatever their cause. It is not suspected of
/// the crash of an incarnation that it ran on before.
#[derive(Debug, Default)]
pub struct RecentRuns {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    began_at: ClockTime,
}

impl RecentRuns {
    /// Records that a request has run to its end.
    pub fn record(&mut self, now: ClockTime, request: Fingerprint) {
        let is_over = now - self.began_at >= GENERATION_TIME;
        if is_over || self.current.len() >= MAX_RUN_COUNT {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = now;
        }
        self.current.insert(request);
    }

    /// Returns whether a request has recently run to its end.
    #[must_use]
    pub fn contains(&self, request: &Fingerprint) -> bool {
        self.current.contains(request) || self.previous.contains(request)
    }

    /// Forgets all runs, since another incarnation follows.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
