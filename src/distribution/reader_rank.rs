use rand::Rng;

use crate::clock::ClockTime;
use crate::distribution::FleetView;

/// Age of the most recent read after which takeovers start; rank 2 takes over one step later.
const TAKEOVER_AGE: ClockTime = ClockTime(5_000);
/// Time between the takeovers of two consecutive ranks, and the range of the jitter.
const RANK_STEP: ClockTime = ClockTime(1_000);
/// Additional age for nodes of other regions, whose reads cause billed traffic between regions.
const REMOTE_TAKEOVER_DELAY: ClockTime = ClockTime(10_000);
/// Number of nodes per zone that watch continuously, in the region of the configuration service.
const WATCHERS_PER_ZONE: usize = 2;

/// Rank of a node within its zone, which determines whether it reads the configuration service.
#[derive(Debug, Clone)]
pub struct ReaderRank {
    rank: usize,
    in_platform_region: bool,
    jitter: ClockTime,
}

/// How a node reads the configuration service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// The node watches continuously.
    Watch,
    /// The node reads once, because no other node appears to be reading.
    TakeOver,
    /// The node does not read.
    Idle,
}

impl ReaderRank {
    /// Creates the rank of a node; `in_platform_region` states whether the node runs in the region
    /// of the configuration service.
    pub fn new<Random>(view: &FleetView, in_platform_region: bool, rng: &mut Random) -> Self
    where
        Random: Rng + ?Sized,
    {
        Self {
            rank: view.zone_rank,
            in_platform_region,
            jitter: ClockTime(rng.random_range(0..RANK_STEP.0)),
        }
    }

    /// Returns the rank within the zone, starting at 0.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Returns the age of the most recent read above which this node takes over.
    #[must_use]
    pub fn takeover_age(&self) -> ClockTime {
        let steps = self.rank.saturating_sub(WATCHERS_PER_ZONE - 1) as u64;
        let remote = if self.in_platform_region {
            ClockTime(0)
        } else {
            REMOTE_TAKEOVER_DELAY
        };
        TAKEOVER_AGE + ClockTime(RANK_STEP.0 * steps) + self.jitter + remote
    }

    /// Returns the role of the node, given the age of the most recent known read.
    #[must_use]
    pub fn role(&self, age: ClockTime) -> ReaderRole {
        if self.in_platform_region && self.rank < WATCHERS_PER_ZONE {
            ReaderRole::Watch
        } else if age > self.takeover_age() {
            ReaderRole::TakeOver
        } else {
            ReaderRole::Idle
        }
    }
}
