use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// Point in time on the clock of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteTime {
    /// Random identifier of the process.
    pub process: u64,
    /// Time since the start of the process.
    pub time: ClockTime,
}

/// Estimate of the clock of another process, from one of its responses.
///
/// A request that carries its send time on the receiver's clock expires even if the receiver was
/// paused while the request waited in its socket buffer. The estimate lags behind the receiver's
/// clock by the network latency of one response and never runs ahead of it.
#[derive(Debug, Clone, Copy)]
pub struct PeerClock {
    process: u64,
    /// Reading of the remote clock when the local clock showed `local`.
    remote: ClockTime,
    local: ClockTime,
}

impl PeerClock {
    /// Creates an estimate from a response received at `now`.
    #[must_use]
    pub fn new(sample: RemoteTime, now: ClockTime) -> Self {
        Self {
            process: sample.process,
            remote: sample.time,
            local: now,
        }
    }

    /// Returns the estimated remote time at `now`.
    #[must_use]
    pub fn at(&self, now: ClockTime) -> RemoteTime {
        RemoteTime {
            process: self.process,
            time: self.remote + (now - self.local),
        }
    }
}
