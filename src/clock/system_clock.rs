use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::clock::ClockTime;
use crate::id::NodeIncarnation;

/// Reads the monotonic clock of the machine.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose time zero is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the creation of this clock.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        ClockTime(self.start.elapsed().as_millis() as u64)
    }

    /// Returns the time since the creation of this clock in fractional milliseconds.
    #[must_use]
    pub fn precise_now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    /// Returns the wall-clock time in ms since the Unix epoch.
    #[must_use]
    pub fn wall_now(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |span| span.as_millis() as u64)
    }

    /// Returns the incarnation of a node that starts now.
    #[must_use]
    pub fn incarnation(&self) -> NodeIncarnation {
        NodeIncarnation(self.wall_now())
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}
