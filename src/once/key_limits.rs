use crate::clock::ClockTime;

/// Time limits of idempotency keys; all nodes of a fleet must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLimits {
    /// Age from which a key is no longer run.
    pub lifetime: ClockTime,
    /// Uptime from which an endpoint is known to every node that can send a fence request.
    pub settle_time: ClockTime,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            lifetime: ClockTime(600_000),
            settle_time: ClockTime(30_000),
        }
    }
}
