//! Responses of the node beside an endpoint to the nodes that forward requests to it.

use bytes::Bytes;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::sidecar::RemoteTime;
use crate::sidecar::forward_message::{
    ForwardOutcome, ForwardRequestHeader, ForwardResponse, ForwardResponseHeader,
};
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::slot_semaphore::AcquireError;

/// Expected time until there is memory for a body.
const MEMORY_RETRY_TIME: ClockTime = ClockTime(300);

impl InboundService {
    /// Returns the refusal of a request that has not reached the endpoint.
    pub(crate) fn refusal(
        &self,
        arrived: ClockTime,
        header: &ForwardRequestHeader,
        code: ResultCode,
    ) -> ForwardResponse {
        self.endpoint_response(arrived, header, not_run(code, ClockTime(0)))
    }

    /// Returns a response that also tells whether the endpoint has said that it shuts down.
    pub(crate) fn endpoint_response(
        &self,
        arrived: ClockTime,
        header: &ForwardRequestHeader,
        outcome: ForwardOutcome,
    ) -> ForwardResponse {
        let mut response = self.response(arrived, outcome);
        response.header.is_leaving = self.is_leaving(header);
        response
    }

    /// Returns a response with the load of the endpoint.
    pub(crate) fn response(&self, arrived: ClockTime, outcome: ForwardOutcome) -> ForwardResponse {
        let code = match &outcome {
            ForwardOutcome::Completed { .. } => ResultCode::Ok,
            ForwardOutcome::NotRun { code, .. } | ForwardOutcome::Unknown { code } => *code,
        };
        self.state.metrics.record_attempt(code);
        ForwardResponse {
            header: ForwardResponseHeader {
                outcome,
                load: self.slots.load(),
                is_leaving: false,
                responded_at: RemoteTime {
                    process: self.process,
                    time: self.state.clock.now(),
                },
                elapsed: self.state.clock.now() - arrived,
                view_age: self.state.age(),
                worked: None,
                body_length: 0,
            },
            body: Bytes::new(),
            claim: None,
        }
    }

    /// Returns the refusal of a request for whose body there is no memory.
    pub(crate) fn no_memory_response(&self) -> ForwardResponse {
        let now = self.state.clock.now();
        self.response(now, not_run(ResultCode::Overloaded, MEMORY_RETRY_TIME))
    }

    /// Returns the refusal sent while the node is shutting down.
    pub(crate) fn leaving_response(&self) -> ForwardResponse {
        let now = self.state.clock.now();
        self.response(now, not_run(ResultCode::NodeLeaving, ClockTime(0)))
    }
}

/// Logs a request that the endpoint received but did not serve successfully.
pub(crate) fn log_failure(
    header: &ForwardRequestHeader,
    outcome: &ForwardOutcome,
    waited: ClockTime,
    worked: ClockTime,
) {
    let (request, endpoint) = (&header.request_id, &header.endpoint);
    let result = match outcome {
        ForwardOutcome::Completed { status, .. } if *status < 500 => return,
        ForwardOutcome::Completed { status, .. } => format!("status={status}"),
        ForwardOutcome::NotRun { code, .. } => format!("not_run={code}"),
        ForwardOutcome::Unknown { code } => format!("unknown={code}"),
    };
    log::info!(
        "event=endpoint_result request={request} endpoint={endpoint} {result} waited={waited} worked={worked}"
    );
}

/// Returns the outcome of a request that has not reached the endpoint.
pub(crate) fn not_run(code: ResultCode, wait: ClockTime) -> ForwardOutcome {
    ForwardOutcome::NotRun {
        code,
        reached_endpoint: false,
        wait,
    }
}

/// Returns the outcome of a request that got no slot.
pub(crate) fn acquire_error_outcome(error: AcquireError) -> ForwardOutcome {
    match error {
        AcquireError::Busy(wait) => not_run(ResultCode::Overloaded, wait),
        AcquireError::Expired => not_run(ResultCode::QueueTimeout, ClockTime(0)),
        AcquireError::Closed => not_run(ResultCode::NodeLeaving, ClockTime(0)),
    }
}
