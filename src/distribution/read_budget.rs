use crate::clock::ClockTime;
use crate::distribution::token_bucket::TokenBucket;
use crate::size::CallRate;

/// Highest rate of one watching reader, in reads a second.
const WATCH_RATE: f64 = 2.0;
/// Reads that one watching reader may do at once.
const WATCH_BURST: f64 = 4.0;
/// Highest rate of a takeover or first read, in reads a second.
const TAKEOVER_RATE: f64 = 1.0;

/// Limits the reads of the configuration service by one node.
///
/// The rates follow the member table and not what the node can reach, so that a fleet split into
/// single nodes stays within a fifth of the budget: a tenth for each bucket over all nodes.
#[derive(Debug, Clone)]
pub struct ReadBudget {
    share: f64,
    watch: TokenBucket,
    takeover: TokenBucket,
}

impl ReadBudget {
    /// Creates a budget; `calls` is what the configuration service serves over all readers, in
    /// calls a second.
    #[must_use]
    pub fn new(calls: CallRate, zones: usize, fleet: usize, now: ClockTime) -> Self {
        let share = calls.0 / 10.0;
        Self {
            share,
            watch: TokenBucket::new(watch_rate(share, zones), WATCH_BURST, now),
            takeover: TokenBucket::new(takeover_rate(share, fleet), 1.0, now),
        }
    }

    /// Follows a change of the member table.
    pub fn resize(&mut self, zones: usize, fleet: usize, now: ClockTime) {
        self.watch.set_rate(watch_rate(self.share, zones), now);
        self.takeover
            .set_rate(takeover_rate(self.share, fleet), now);
    }

    /// Takes one read of a watching reader; returns false if the budget is spent.
    pub fn take_watch(&mut self, now: ClockTime) -> bool {
        self.watch.take(now)
    }

    /// Takes one read of a takeover or a first read; returns false if the budget is spent.
    pub fn take_takeover(&mut self, now: ClockTime) -> bool {
        self.takeover.take(now)
    }
}

fn watch_rate(share: f64, zones: usize) -> f64 {
    (share / (2 * zones.max(1)) as f64).min(WATCH_RATE)
}

fn takeover_rate(share: f64, fleet: usize) -> f64 {
    (share / fleet.max(1) as f64).min(TAKEOVER_RATE)
}
