use crate::clock::ClockTime;
use crate::error::{CallOutcome, ResultCode};

/// Maximum number of resends of one call.
const MAX_RESENDS: u8 = 2;
/// Remaining time below which a resend cannot complete before the deadline.
const MIN_REMAINING: ClockTime = ClockTime(5);

/// Call whose last attempt ended without a complete response.
#[derive(Debug, Clone, Copy)]
pub struct FailedCall {
    /// Result code of the attempt.
    pub code: ResultCode,
    /// Whether the kind is idempotent.
    pub idempotent: bool,
    /// Number of resends so far.
    pub attempt: u8,
    /// Number of entry nodes that the call passed through before this one.
    pub depth: u8,
    /// Time left before the deadline.
    pub remaining: ClockTime,
}

/// Policy for whether a failed call may be sent again. The retry budget is checked separately.
#[derive(Debug)]
pub struct ResendPolicy;

impl ResendPolicy {
    /// Returns whether the call may be sent again.
    ///
    /// Calls are resent at the first hop only, since resends at each of 8 hops would multiply. A
    /// refusal by a leaving node is the exception: the call was not run, and the replacement of the
    /// node is known within seconds.
    #[must_use]
    pub fn allows(call: FailedCall) -> bool {
        let hop_allowed = call.depth == 0 || call.code == ResultCode::NodeLeaving;
        let allowed = hop_allowed && call.attempt < MAX_RESENDS && call.remaining >= MIN_REMAINING;
        allowed
            && match call.code.outcome() {
                CallOutcome::Ran => false,
                CallOutcome::NotRun => match call.code {
                    // A second refusal due to load suggests that all endpoints are overloaded.
                    ResultCode::Overloaded | ResultCode::DeadlineTooShort => call.attempt == 0,
                    ResultCode::NodeNotReady
                    | ResultCode::NodeLeaving
                    | ResultCode::PeerUnreachable
                    | ResultCode::BackendUnreachable => true,
                    _ => false,
                },
                CallOutcome::Failed | CallOutcome::Unknown => {
                    let transient = matches!(
                        call.code,
                        ResultCode::AnswerMalformed
                            | ResultCode::ConnectionLost
                            | ResultCode::DeadlinePassed
                    );
                    call.idempotent && transient
                }
            }
    }
}
