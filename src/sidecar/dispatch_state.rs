use std::fmt::Write;

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::EndpointId;
use crate::quarantine::Fingerprint;
use crate::retry::AttemptCause;
use crate::sidecar::client_response::ClientResponse;

/// Identifiers of a few endpoints.
pub(crate) type EndpointList = SmallVec<[EndpointId; 4]>;

/// State of one request while it is dispatched.
#[derive(Default)]
pub(crate) struct DispatchState {
    /// Endpoints to which the request is not sent again.
    pub(crate) excluded: EndpointList,
    /// Endpoints without a free slot, with the wait that each expects.
    pub(crate) overloaded: SmallVec<[(EndpointId, ClockTime); 4]>,
    /// Endpoints excluded by a refusal that did not come from the endpoint itself, such as a queue
    /// timeout.
    pub(crate) node_refusals: EndpointList,
    /// Number of attempts that may have reached an endpoint.
    pub(crate) attempts: u32,
    pub(crate) last_refusal: Option<ResultCode>,
    /// Failure of an attempt that may have run the request. It is returned if no endpoint is left,
    /// because a refusal would state that the request has not run.
    pub(crate) failure: Option<ClientResponse>,
    /// Fingerprint of the request, once it was needed.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// Result of each attempt, for the log.
    pub(crate) attempt_log: String,
    /// Why the next attempt is made.
    pub(crate) cause: AttemptCause,
    /// Whether the last refusal came from the endpoint itself rather than from its queue.
    pub(crate) refused_by_endpoint: bool,
}

impl DispatchState {
    /// Returns whether no endpoint may have received the request.
    pub(crate) fn is_unsent(&self) -> bool {
        self.attempts == 0 && self.failure.is_none()
    }

    /// Returns the response to a request that is given up for the reason `code`.
    ///
    /// Only a request that no endpoint may have received is refused, since a refusal states that it
    /// has not run.
    pub(crate) fn abandoned(&self, code: ResultCode) -> ClientResponse {
        if code == ResultCode::NodeLeaving && self.is_unsent() {
            return ClientResponse::local(code, Some(ClockTime(0)));
        }
        ClientResponse::local(ResultCode::DeadlinePassed, None)
    }

    /// Makes those endpoints available again whose node refused the request before it reached them.
    pub(crate) fn clear_refusals(&mut self) {
        self.overloaded.clear();
        let refused = std::mem::take(&mut self.node_refusals);
        self.excluded.retain(|id| !refused.contains(id));
    }

    /// Appends the result of an attempt to the attempt log.
    pub(crate) fn log_attempt(&mut self, id: &EndpointId, code: ResultCode, wait: ClockTime) {
        let comma = if self.attempt_log.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(self.attempt_log, "{comma}{id}:{code}:{wait}");
    }

    pub(crate) fn record_refusal(
        &mut self,
        id: &EndpointId,
        code: ResultCode,
        wait: ClockTime,
        reached_endpoint: bool,
    ) {
        self.last_refusal = Some(code);
        self.log_attempt(id, code, wait);
        if code == ResultCode::Overloaded && !reached_endpoint && !self.excluded.contains(id) {
            self.overloaded.push((id.clone(), wait));
        } else {
            if !reached_endpoint {
                self.node_refusals.push(id.clone());
            }
            if !self.excluded.contains(id) {
                self.excluded.push(id.clone());
            }
        }
    }
}
