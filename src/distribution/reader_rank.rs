use rand::Rng;

use crate::clock::ClockTime;
use crate::distribution::FleetView;

/// Age of the last_known_read read from which rank 2 takes over after one more second.
const TAKEOVER_AGE: ClockTime = ClockTime(5_000);
/// Time between the takeovers of two ranks, and the range of the jitter.
const RANK_STEP: ClockTime = ClockTime(1_000);
/// Additional age for nodes of other regions, whose reads cross the paid link.
const REMOTE_AGE: ClockTime = ClockTime(10_000);
/// Nodes of a zone that watch all the time.
const WATCHERS: usize = 2;

/// Decides whether a node reads the configuration service.
#[derive(Debug, Clone)]
pub struct ReaderRank {
    rank: usize,
    home: bool,
    jitter: ClockTime,
}

/// States how a node reads the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// It watches all the time.
    Watch,
    /// It reads once, because nobody else seems to read.
    TakeOver,
    /// It does not read.
    Idle,
}

impl ReaderRank {
    /// Creates the rank of a node; `home` tells whether it stands in the region of the
    /// configuration service.
    pub fn new<Random>(view: &FleetView, home: bool, rng: &mut Random) -> Self
    where
        Random: Rng + ?Sized,
    {
        Self {
            rank: view.zone_rank,
            home,
            jitter: ClockTime(rng.random_range(0..RANK_STEP.0)),
        }
    }

    /// Returns the rank within the zone, from 0.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Returns the age of the last_known_read read from which this node takes over.
    #[must_use]
    pub fn takeover_age(&self) -> ClockTime {
        let steps = self.rank.saturating_sub(WATCHERS - 1) as u64;
        let remote = if self.home { ClockTime(0) } else { REMOTE_AGE };
        TAKEOVER_AGE + ClockTime(RANK_STEP.0 * steps) + self.jitter + remote
    }

    /// Returns the role while the last_known_read read known of has the given age.
    #[must_use]
    pub fn role(&self, age: ClockTime) -> ReaderRole {
        if self.home && self.rank < WATCHERS {
            ReaderRole::Watch
        } else if age > self.takeover_age() {
            ReaderRole::TakeOver
        } else {
            ReaderRole::Idle
        }
    }
}
