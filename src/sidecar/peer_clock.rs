use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Is an instant on the clock of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteTime {
    /// Random number of the process.
    pub process: u64,
    /// Time since the process started.
    pub time: ClockTime,
}

/// Estimates the clock of another process from its answers.
///
/// A request that carries its time of sending on the receiver's clock expires there even if the
/// receiver was paused while the request lay in its socket. The estimate is never ahead of the
/// receiver's clock by more than the network time of one answer.
#[derive(Debug, Clone, Copy)]
pub struct PeerClock {
    process: u64,
    /// Reading of the other clock when the own clock showed `own`.
    remote: ClockTime,
    local: ClockTime,
}

impl PeerClock {
    /// Creates an estimate from an answer that was received at `now`.
    #[must_use]
    pub fn new(answered: RemoteTime, now: ClockTime) -> Self {
        Self {
            process: answered.process,
            remote: answered.time,
            local: now,
        }
    }

    /// Returns the time of the other clock at `now`, or shortly before.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> RemoteTime {
        RemoteTime {
            process: self.process,
            time: self.remote + (now - self.local),
        }
    }
}
