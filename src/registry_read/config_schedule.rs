use crate::clock::ClockTime;

/// Time, in refresh intervals, by which the configuration must be older than the endpoints for a node
/// to regard it as late.
const MIN_LAG_INTERVALS: f64 = 0.5;
/// Steps, after one refresh interval, at which the standby and the first of the other nodes read the
/// configuration. A step lasts as long as a transfer, so an earlier reader has usually finished by then.
const STANDBY_STEPS: u64 = 1;
const OTHERS_STEPS: u64 = 2;
/// Number of doublings of the pause after a failed read.
const MAX_FAILURE_DOUBLING_COUNT: u32 = 3;
/// Shortest and longest pause, in refresh intervals, between two reads of the configuration. Between
/// them, it is as long as the last read.
const MIN_PAUSE_INTERVALS: f64 = 0.125;
const MAX_PAUSE_INTERVALS: f64 = 0.5;

/// What a node knows when it decides whether to read a configuration that lags behind.
#[derive(Debug, Clone, Copy)]
pub struct ConfigLag {
    /// Age of the endpoints.
    pub age: ClockTime,
    /// Age of the configuration.
    pub config_age: ClockTime,
    /// Usual time between two refreshes.
    pub interval: ClockTime,
    /// Time for which the node has known that the configuration lacks changes, unless it knows of none.
    pub known_for: Option<ClockTime>,
    /// Whether another node has asked this one to read the configuration.
    pub is_requested: bool,
    /// Whether the node reads the registry for others.
    pub reads_registry: bool,
    /// Whether the node is the reader of its region, but learns from others since its reads failed.
    pub is_paused: bool,
    /// Whether the node is the standby of its region.
    pub is_standby: bool,
    /// Time since the last read of the configuration ended, and the time that it took.
    pub last_read: Option<(ClockTime, ClockTime)>,
    /// Reads of the configuration that have failed in a row.
    pub failures: u32,
    /// Time that the largest configuration takes to arrive over the link of the instance, or of the node
    /// that reads it in place of this one.
    pub transfer_time: ClockTime,
    /// Number of nodes of the region.
    pub region_size: usize,
    /// Random number from 0 to 1, which spreads the reads of the nodes.
    pub chance: f64,
}

/// Returns the time after which the node reads the configuration itself, or `None` if it waits for
/// other nodes.
///
/// A configuration is much larger than the changes of endpoints, so the link to the registry carries
/// only a few copies of it at a time. The nodes that read for their region do so at once, the standby
/// a transfer later, and then the others in numbers that double with each further transfer, those with
/// fast links first. Reads that start before the earlier ones could end would delay all of them.
#[must_use]
pub fn config_read_delay(lag: &ConfigLag) -> Option<ClockTime> {
    let intervals = |count: f64| ClockTime((lag.interval.as_f64() * count) as u64);
    let step = lag.interval.max(lag.transfer_time);
    let steps = |count: u64| lag.interval + ClockTime(step.0 * count);
    let due = if lag.is_requested || (lag.reads_registry && lag.known_for.is_some()) {
        ClockTime(0)
    } else if let Some(known_for) = lag.known_for.filter(|_| lag.is_paused) {
        lag.interval - known_for
    } else if lag.config_age - lag.age < intervals(MIN_LAG_INTERVALS) {
        return None;
    } else if lag.is_standby {
        steps(STANDBY_STEPS) - lag.config_age
    } else {
        let turn = doubling_turn(lag.region_size, lag.chance);
        let spread = ClockTime((step.as_f64() * turn) as u64);
        steps(OTHERS_STEPS) + spread - lag.config_age
    };
    let pause = match lag.last_read {
        Some((ended, _)) if lag.failures > 0 && !lag.reads_registry => {
            let doublings = (lag.failures - 1).min(MAX_FAILURE_DOUBLING_COUNT);
            let mean = ClockTime(step.0 << doublings);
            ClockTime((mean.as_f64() * (0.5 + lag.chance)) as u64) - ended
        }
        Some((ended, duration)) => {
            let longest = intervals(MAX_PAUSE_INTERVALS);
            duration.clamp(intervals(MIN_PAUSE_INTERVALS), longest) - ended
        }
        None => ClockTime(0),
    };
    Some(due.max(pause))
}

/// Returns the turn, counted from 0, at which a node is to read if twice as many of the nodes of a region
/// read with each further turn, and one in the first. `chance` is a random number from 0 to 1.
#[must_use]
pub fn doubling_turn(region_size: usize, chance: f64) -> f64 {
    (chance * region_size as f64).max(1.0).log2()
}
