use std::fmt;

/// Outcome of a call: whether its work was executed, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The work was executed and the response is complete.
    Ran,
    /// The work was not executed, because no byte of the request can have reached a backend server.
    NotRun,
    /// The work was executed, but its response reports a failure or could not be delivered.
    Failed,
    /// The work may or may not have been executed.
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
