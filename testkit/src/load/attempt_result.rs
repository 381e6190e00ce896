/// States how an attempt of a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptResult {
    /// A right answer came from the named instance.
    Right(String),
    /// The call was refused without running, with a result code.
    Refused(String),
    /// The call ran and failed, with a result code.
    Failed(String),
    /// Nobody can say whether the call ran, with a result code.
    Unknown(String),
    /// The answer belongs to another request or is damaged.
    Wrong,
}

impl AttemptResult {
    /// Returns whether another attempt with the same key may give a better result.
    #[must_use]
    pub fn allows_retry(&self, keyed: bool) -> bool {
        match self {
            AttemptResult::Refused(_) => true,
            // Without a key, the call may run twice; the profile gives keys to what must not.
            AttemptResult::Unknown(_) | AttemptResult::Failed(_) => keyed,
            AttemptResult::Right(_) | AttemptResult::Wrong => false,
        }
    }

    /// Returns the name of the result for reports.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            AttemptResult::Right(_) => "right",
            AttemptResult::Refused(_) => "refused",
            AttemptResult::Failed(_) => "failed",
            AttemptResult::Unknown(_) => "unknown",
            AttemptResult::Wrong => "wrong",
        }
    }
}
