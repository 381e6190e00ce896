use std::time::Instant;

/// Describes one call before it is made.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledCall {
    /// Index of the kind.
    pub kind: usize,
    /// Number within the run.
    pub number: u64,
    /// Intended start.
    pub start: Instant,
    /// Index of the first target; retries go to those after it.
    pub target: usize,
}
