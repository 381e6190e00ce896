use std::fmt;

/// States what is known about whether the work of a call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The work ran and the answer is complete.
    Ran,
    /// No byte of the request can have reached a backend server.
    NotRun,
    /// The work ran, and its answer could not be delivered or reports a failure.
    Failed,
    /// The work may or may not have run.
    Unknown,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}
