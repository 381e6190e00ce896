use std::fmt::Write;

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::EndpointId;
use crate::sidecar::client_response::ClientResponse;

pub(crate) type EndpointList = SmallVec<[EndpointId; 4]>;

/// Is the state of one request while it is dispatched.
#[derive(Default)]
pub(crate) struct DispatchState {
    /// Endpoints that are not asked again.
    pub(crate) excluded: EndpointList,
    /// Endpoints that refused with the wait that they expect.
    pub(crate) overloaded: SmallVec<[(EndpointId, ClockTime); 4]>,
    /// Endpoints in whose queue the request waited in vain.
    pub(crate) node_refusals: EndpointList,
    /// Endpoints that the request may have reached.
    pub(crate) attempts: u32,
    pub(crate) last_refusal: Option<ResultCode>,
    /// ClientResponse to give when no endpoint is left after one that may have run the request: a refusal
    /// would say that it has not run.
    pub(crate) failure: Option<ClientResponse>,
    /// What each asked endpoint said, for the log.
    pub(crate) attempt_log: String,
    /// Whether an endpoint has been sent the request before.
    pub(crate) is_retry: bool,
    /// Whether the last refusal came from an endpoint and not from a queue.
    pub(crate) refused_by_endpoint: bool,
}

impl DispatchState {
    /// Lets the endpoints be asked again that had no slot.
    pub(crate) fn clear_refusals(&mut self) {
        self.overloaded.clear();
        let asked = std::mem::take(&mut self.node_refusals);
        self.excluded.retain(|id| !asked.contains(id));
    }

    /// Adds what an endpoint said to the trail of the request.
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
