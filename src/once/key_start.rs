use crate::call::CallResponse;
use crate::clock::ClockTime;
use crate::error::ResultCode;

/// Answers an attempt to run a key.
#[derive(Debug, Clone)]
pub enum KeyStart {
    /// The key is recorded as running and the call may run.
    Run,
    /// The key ran; this is the recorded answer.
    Replay(CallResponse),
    /// The key is running.
    Running,
    /// The key ran without a recorded answer, or it may have run.
    Unknown,
    /// Another attempt has precedence, or this attempt's fence is not recorded here.
    Fenced,
    /// The endpoint doesn't accept keys made by callers before this time has passed.
    Settling(ClockTime),
    /// The ledger has no place for another key.
    Full,
}

impl KeyStart {
    /// Returns the code of the answer, or `None` for `Run` and `Replay`.
    ///
    /// `Fenced` is answered as "still running" and not as "not run": this attempt did not run, but
    /// the attempt that has precedence may.
    #[must_use]
    pub fn refusal(&self) -> Option<ResultCode> {
        match self {
            Self::Run | Self::Replay(_) => None,
            Self::Running | Self::Fenced => Some(ResultCode::KeyRunning),
            Self::Unknown => Some(ResultCode::KeyMemoryGone),
            Self::Settling(_) => Some(ResultCode::KeyFenced),
            Self::Full => Some(ResultCode::Overloaded),
        }
    }
}
