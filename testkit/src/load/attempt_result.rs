/// Result of one attempt of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// A correct response was received from the named instance.
    Correct(String),
    /// The call was refused without being executed, with a result code.
    Refused(String),
    /// The call was executed and failed, with a result code.
    Failed(String),
    /// It is unknown whether the call was executed, with a result code.
    Unknown(String),
    /// The response belongs to another request or is corrupted.
    Incorrect,
}

impl AttemptResult {
    /// Returns whether the call may be retried; `keyed` states whether it carries an idempotency
    /// key or uses the method GET.
    #[must_use]
    pub fn allows_retry(&self, keyed: bool) -> bool {
        match self {
            AttemptResult::Refused(_) => true,
            // Without a key, a retry may execute the call twice; the profile assigns keys to calls
            // that are not idempotent.
            AttemptResult::Unknown(_) | AttemptResult::Failed(_) => keyed,
            AttemptResult::Correct(_) | AttemptResult::Incorrect => false,
        }
    }

    /// Returns the name used in reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            AttemptResult::Correct(_) => "right",
            AttemptResult::Refused(_) => "refused",
            AttemptResult::Failed(_) => "failed",
            AttemptResult::Unknown(_) => "unknown",
            AttemptResult::Incorrect => "wrong",
        }
    }
}
