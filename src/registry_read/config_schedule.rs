use crate::clock::ClockTime;

/// Time, in refresh intervals, by which the configuration must be older than the endpoints for a node
/// to regard it as late.
const MIN_LAG_INTERVALS: f64 = 0.5;
/// Age of the configuration, in refresh intervals, at which the standby reads it.
const STANDBY_AGE_INTERVALS: f64 = 2.0;
/// Age of the configuration, in refresh intervals, at which the first of the other nodes read it.
const OTHERS_AGE_INTERVALS: f64 = 3.0;
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
    /// Whether a read of this node has shown that the configuration changed.
    pub is_known: bool,
    /// Whether the node reads the registry for others.
    pub reads_registry: bool,
    /// Whether the node is the standby of its region.
    pub is_standby: bool,
    /// Time since the last read of the configuration ended, and the time that it took.
    pub last_read: Option<(ClockTime, ClockTime)>,
    /// Time that the largest configuration takes to arrive over the link of the instance.
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
/// later, and then the others in numbers that double with each interval, those with fast links first.
#[must_use]
pub fn config_read_delay(lag: &ConfigLag) -> Option<ClockTime> {
    let intervals = |count: f64| ClockTime((lag.interval.as_f64() * count) as u64);
    let due = if lag.reads_registry && lag.is_known {
        ClockTime(0)
    } else if lag.config_age - lag.age < intervals(MIN_LAG_INTERVALS) {
        return None;
    } else if lag.is_standby {
        intervals(STANDBY_AGE_INTERVALS) - lag.config_age
    } else {
        let turn = doubling_turn(lag.region_size, lag.chance);
        let spread = lag.transfer_time.min(lag.interval) + intervals(turn);
        intervals(OTHERS_AGE_INTERVALS) + spread - lag.config_age
    };
    let pause = match lag.last_read {
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
