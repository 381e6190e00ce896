use crate::clock::ClockTime;

/// Holds the times that decide whether a key may run; all nodes of a fleet use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyLimits {
    /// Age from which a key is never run.
    pub lifetime: ClockTime,
    /// Uptime of an endpoint after which every node that may ask about a key knows of it.
    pub settle: ClockTime,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            lifetime: ClockTime(600_000),
            settle: ClockTime(30_000),
        }
    }
}
