use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::sidecar::client_response::ClientResponse;

/// Outcome of one attempt to run a request on an endpoint.
pub(crate) enum AttemptOutcome {
    Response(ClientResponse),
    /// The endpoint did not run the request.
    NotRun {
        code: ResultCode,
        wait: ClockTime,
        /// Whether the refusal came from the endpoint itself, so that a further attempt counts as a
        /// retry.
        reached_endpoint: bool,
    },
    /// The endpoint failed, or it is unknown whether it ran the request. Holds the response to
    /// return if the request is not retried.
    Failed(ClientResponse),
}

impl AttemptOutcome {
    /// Combines the outcomes of two attempts of one request, of which `self` completed first
    /// without a response.
    ///
    /// A failure takes precedence over a refusal, because the request may have run.
    pub(crate) fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Failed(response), Self::NotRun { .. }) => Self::Failed(response),
            (_, other) => other,
        }
    }
}
