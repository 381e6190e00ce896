use std::time::Instant;

/// Call that is scheduled but has not been made.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledCall {
    /// Index of the kind in the profile.
    pub kind: usize,
    /// Sequence number within the run.
    pub number: u64,
    /// Intended start time.
    pub start: Instant,
    /// Index of the target of the first attempt; each retry uses the next target.
    pub target: usize,
}
