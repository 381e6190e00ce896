use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::sidecar::client_response::ClientResponse;

/// Is what one attempt came to.
pub(crate) enum AttemptResult {
    Response(ClientResponse),
    /// The endpoint has not run the request.
    NotRun {
        code: ResultCode,
        wait: ClockTime,
        /// Whether the request reached the endpoint, so that another attempt repeats it.
        reached_endpoint: bool,
    },
    /// The endpoint failed, or nobody knows; with the answer to give when nothing is tried again.
    Failed(ClientResponse),
}

impl AttemptResult {
    /// Returns the outcome of two attempts of one request, of which this one gave no answer.
    ///
    /// A failure outlasts a refusal, because the request may have run.
    pub(crate) fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Failed(response), Self::NotRun { .. }) => Self::Failed(response),
            (_, other) => other,
        }
    }
}
