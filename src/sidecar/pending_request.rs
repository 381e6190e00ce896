use std::rc::Rc;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::memory::MemoryClaim;
use crate::metrics::SidecarMetrics;
use crate::sidecar::ahead_budget::AheadPermit;
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::{PipelineTicket, RequestPipeline};

/// A request that has been received completely.
pub(crate) struct PendingRequest {
    pub(crate) request: OutboundRequest,
    pub(crate) is_head: bool,
    /// Memory of the body, which is free again when the request has ended.
    pub(crate) claim: MemoryClaim,
}

/// A response that has not been sent.
pub(crate) struct PendingResponse {
    pub(crate) response: ClientResponse,
    pub(crate) is_head: bool,
    /// Present if the request was started before its turn.
    pub(crate) permit: Option<AheadPermit>,
}

/// The result of a request that was started.
pub(crate) struct FinishedRequest {
    pub(crate) ticket: PipelineTicket,
    pub(crate) response: PendingResponse,
}

impl FinishedRequest {
    /// Passes the response to the pipeline, which holds it until its turn.
    pub(crate) fn record(
        self,
        pipeline: &mut RequestPipeline<PendingRequest, PendingResponse>,
        metrics: &SidecarMetrics,
    ) {
        let mut response = self.response;
        let size = response.response.body.len();
        if let Some(permit) = &mut response.permit {
            permit.hold(size);
        }
        if pipeline.finish(self.ticket, response, size) {
            metrics.record_response_held();
        }
    }
}

/// Guard that logs a request whose connection ended before its response.
struct CancelLog<'a>(Option<&'a str>);

impl Drop for CancelLog<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.0 {
            log::info!("event=client_left request={id}");
        }
    }
}

impl PendingRequest {
    /// Returns the refusal sent while the node stops; the client sends the request to another node.
    pub(crate) fn refuse(&self) -> PendingResponse {
        log::info!("event=stop_refused request={}", self.request.id);
        PendingResponse {
            response: ClientResponse::local(ResultCode::NodeLeaving, Some(ClockTime(0))),
            is_head: self.is_head,
            permit: None,
        }
    }

    /// Runs the request. Dropping the future cancels it.
    pub(crate) async fn run(
        self,
        dispatcher: Rc<Dispatcher>,
        ticket: PipelineTicket,
        permit: Option<AheadPermit>,
    ) -> FinishedRequest {
        let Self {
            mut request,
            is_head,
            claim,
        } = self;
        if let Some(schedule) = dispatcher.state.stop_schedule() {
            request.deadline = request.client_deadline.min(schedule.answers_by);
        }
        let mut log = CancelLog(Some(&request.id));
        let response = dispatcher.dispatch(&request).await;
        log.0 = None;
        drop(claim);
        FinishedRequest {
            ticket,
            response: PendingResponse {
                response,
                is_head,
                permit,
            },
        }
    }
}
