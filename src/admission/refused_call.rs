use crate::clock::ClockTime;
use crate::error::ResultCode;

/// Queued call that was dropped without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedCall {
    /// Identifier of the call.
    pub id: u64,
    /// Reason for the refusal; always a code that means "not run".
    pub code: ResultCode,
    /// Time after which the call may be tried again.
    pub retry_after: ClockTime,
}
