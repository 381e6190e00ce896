use crate::clock::ClockTime;
use crate::distribution::token_bucket::TokenBucket;
use crate::size::CallRate;

/// Maximum rate of one watching reader, in reads per second.
const MAX_WATCH_RATE: f64 = 2.0;
/// Maximum burst of one watching reader, in reads.
const WATCH_BURST: f64 = 4.0;
/// Maximum rate of takeover and first reads of one node, in reads per second.
const MAX_TAKEOVER_RATE: f64 = 1.0;

/// Limit on the rate at which one node reads the configuration service.
///
/// The rates depend on the number of zones and nodes in the member table, not on how many of them
/// the node can reach. Over all nodes, each of the two buckets is limited to a tenth of the call
/// budget, so that a fleet partitioned into single nodes uses at most a fifth of it.
#[derive(Debug, Clone)]
pub struct ReadBudget {
    share: f64,
    watch: TokenBucket,
    takeover: TokenBucket,
}

impl ReadBudget {
    /// Creates a budget from the call rate that the configuration service can serve to all readers
    /// together.
    #[must_use]
    pub fn new(calls: CallRate, zones: usize, fleet: usize, now: ClockTime) -> Self {
        let share = calls.0 / 10.0;
        Self {
            share,
            watch: TokenBucket::new(watch_rate(share, zones), WATCH_BURST, now),
            takeover: TokenBucket::new(takeover_rate(share, fleet), 1.0, now),
        }
    }

    /// Adjusts the rates to a changed number of zones and nodes.
    pub fn resize(&mut self, zones: usize, fleet: usize, now: ClockTime) {
        self.watch.set_rate(watch_rate(self.share, zones), now);
        self.takeover
            .set_rate(takeover_rate(self.share, fleet), now);
    }

    /// Takes one read as a watching reader; returns false if the budget is exhausted.
    pub fn take_watch(&mut self, now: ClockTime) -> bool {
        self.watch.take(now)
    }

    /// Takes one takeover or first read; returns false if the budget is exhausted.
    pub fn take_takeover(&mut self, now: ClockTime) -> bool {
        self.takeover.take(now)
    }
}

fn watch_rate(share: f64, zones: usize) -> f64 {
    (share / (2 * zones.max(1)) as f64).min(MAX_WATCH_RATE)
}

fn takeover_rate(share: f64, fleet: usize) -> f64 {
    (share / fleet.max(1) as f64).min(MAX_TAKEOVER_RATE)
}
