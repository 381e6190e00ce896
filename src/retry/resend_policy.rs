use crate::clock::ClockTime;
use crate::error::{CallOutcome, ResultCode};

/// Resends of one call at most.
const MOST_RESENDS: u8 = 2;
/// Time below which a resend cannot be answered, in ms.
const LEAST_REMAINING: ClockTime = ClockTime(5);

/// Describes a call whose attempt ended without a whole answer.
#[derive(Debug, Clone, Copy)]
pub struct FailedCall {
    /// Code of the attempt.
    pub code: ResultCode,
    /// Whether the kind is idempotent.
    pub idempotent: bool,
    /// Number of resends so far.
    pub attempt: u8,
    /// Number of nodes that entered the call before.
    pub depth: u8,
    /// Time left before the deadline.
    pub remaining: ClockTime,
}

/// Decides whether a failed call may be sent again; the retry budget is asked afterwards.
#[derive(Debug)]
pub struct ResendPolicy;

impl ResendPolicy {
    /// Returns whether the call may be sent again.
    ///
    /// Resends happen at the first hop only, since resends at each of 8 hops would multiply. A node
    /// that leaves is the exception: it ran nothing, and its successor is known within seconds.
    #[must_use]
    pub fn allows(call: FailedCall) -> bool {
        let hop = call.depth == 0 || call.code == ResultCode::NodeLeaving;
        let open = hop && call.attempt < MOST_RESENDS && call.remaining >= LEAST_REMAINING;
        open && match call.code.outcome() {
            CallOutcome::Ran => false,
            CallOutcome::NotRun => match call.code {
                // A second refusal for load shows that other endpoints are loaded as well.
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
