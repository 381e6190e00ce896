use crate::clock::ClockTime;
use crate::error::ResultCode;

/// Names a queued ticket that is dropped without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedCall {
    /// Ticket.
    pub id: u64,
    /// Reason; always a code that means "not run".
    pub code: ResultCode,
    /// Time after which another attempt is welcome.
    pub retry_after: ClockTime,
}
