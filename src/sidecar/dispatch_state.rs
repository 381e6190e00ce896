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
    pub(crate) busy: SmallVec<[(EndpointId, ClockTime); 4]>,
    /// Endpoints in whose queue the request waited in vain.
    pub(crate) queued: EndpointList,
    /// Endpoints that the request may have reached.
    pub(crate) reached: u32,
    pub(crate) last_refusal: Option<ResultCode>,
    /// ClientResponse to give when no endpoint is left after one that may have run the request: a refusal
    /// would say that it has not run.
    pub(crate) failure: Option<ClientResponse>,
    /// What each asked endpoint said, for the log.
    pub(crate) trail: String,
    /// Whether an endpoint has been sent the request before.
    pub(crate) repeated: bool,
    /// Whether the last refusal came from an endpoint and not from a queue.
    pub(crate) turned_away: bool,
}

impl DispatchState {
    /// Lets the endpoints be asked again that had no slot.
    pub(crate) fn forget_refusals(&mut self) {
        self.busy.clear();
        let asked = std::mem::take(&mut self.queued);
        self.excluded.retain(|id| !asked.contains(id));
    }

    /// Adds what an endpoint said to the trail of the request.
    pub(crate) fn note(&mut self, id: &EndpointId, code: ResultCode, wait: ClockTime) {
        let comma = if self.trail.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(self.trail, "{comma}{id}:{code}:{wait}");
    }

    pub(crate) fn note_refusal(
        &mut self,
        id: &EndpointId,
        code: ResultCode,
        wait: ClockTime,
        reached: bool,
    ) {
        self.last_refusal = Some(code);
        self.note(id, code, wait);
        if code == ResultCode::Overloaded && !reached && !self.excluded.contains(id) {
            self.busy.push((id.clone(), wait));
        } else {
            if !reached {
                self.queued.push(id.clone());
            }
            if !self.excluded.contains(id) {
                self.excluded.push(id.clone());
            }
        }
    }
}
