use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;

use crate::clock::ClockTime;
use crate::id::NodeIncarnation;

/// A monotonic clock that includes the time for which the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Duration,
    offset: Duration,
}

impl SystemClock {
    /// Creates a clock that counts from now.
    #[must_use]
    pub fn new() -> Self {
        Self::starting_at(ClockTime(0))
    }

    /// Creates a clock that shows `offset` now, so that it can represent times before its creation.
    #[must_use]
    pub fn starting_at(offset: ClockTime) -> Self {
        Self {
            start: time_since_boot(),
            offset: offset.to_duration(),
        }
    }

    /// Returns the time since the creation of this clock, plus its offset.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        ClockTime(self.elapsed().as_millis() as u64)
    }

    /// Returns the time since the creation of this clock.
    #[must_use]
    pub fn uptime(&self) -> ClockTime {
        ClockTime((self.elapsed() - self.offset).as_millis() as u64)
    }

    /// Returns the time that the clock shows in milliseconds, with a fractional part.
    #[must_use]
    pub fn elapsed_ms(&self) -> f64 {
        self.elapsed().as_secs_f64() * 1_000.0
    }

    fn elapsed(&self) -> Duration {
        time_since_boot().saturating_sub(self.start) + self.offset
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_time_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |duration| duration.as_millis() as u64)
    }

    /// Returns the incarnation for a node that starts now.
    #[must_use]
    pub fn incarnation(&self) -> NodeIncarnation {
        NodeIncarnation(self.unix_time_ms())
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the time since the machine booted. If `CLOCK_BOOTTIME` is not available, returns the
/// time since the first call instead, without the time for which the machine is suspended.
fn time_since_boot() -> Duration {
    static FIRST_CALL: OnceLock<Instant> = OnceLock::new();
    ClockId::CLOCK_BOOTTIME
        .now()
        .map(Duration::from)
        .unwrap_or_else(|_| FIRST_CALL.get_or_init(Instant::now).elapsed())
}
