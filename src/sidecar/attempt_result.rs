use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::sidecar::answer::Answer;

/// Is what one attempt came to.
pub(crate) enum AttemptResult {
    Answer(Answer),
    /// The endpoint has not run the request.
    NotRun {
        code: ResultCode,
        wait: ClockTime,
        /// Whether the request reached the endpoint, so that another attempt repeats it.
        reached: bool,
    },
    /// The endpoint failed, or nobody knows; with the answer to give when nothing is tried again.
    Failed(Answer),
}
