use std::rc::Rc;

use crate::call::CallResponse;
use crate::clock::ClockTime;
use crate::error::{CallOutcome, Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::node::{
    AttemptKey, ControlEvent, EndpointSelector, EndpointService, ResolvedCall, SharedState,
};
use crate::peer::{CallResponseHeader, PeerCaller};
use crate::routing::CompletionStatus;

/// Sender of single attempts of calls to endpoints, which records their outcomes.
pub(crate) struct CallSender {
    pub(crate) address: NodeAddress,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) selector: Rc<EndpointSelector>,
    pub(crate) local: Rc<EndpointService>,
    pub(crate) peers: Rc<dyn PeerCaller>,
}

/// The response to one attempt, with its latency. A failed attempt has a response with an error
/// code.
#[derive(Debug)]
pub(crate) struct TimedResponse {
    pub(crate) response: CallResponse,
    pub(crate) latency_ms: f64,
}

impl CallSender {
    /// Sends one attempt. Dropping the future cancels it.
    pub(crate) async fn send(
        &self,
        call: &ResolvedCall,
        to: NodeAddress,
        attempt: u8,
        key: Option<&AttemptKey>,
    ) -> TimedResponse {
        let outstanding = self.selector.start(&call.service, call.kind_name(), to);
        // The deadline may have passed in a process pause after the endpoint was chosen.
        let now = self.shared.observe();
        let result = if now >= call.deadline {
            let message = "the deadline passed before the call was sent";
            Err(Error::new(ResultCode::DeadlineTooShort, message))
        } else {
            self.exchange(call, to, now, attempt, key).await
        };
        let (status, load) = match &result {
            Ok((header, _)) => {
                self.shared.report_peer_stamp(to, header.stamp);
                (completion_status_of(header.code), Some(header.load))
            }
            Err(error) => (completion_status_of(error.code()), None),
        };
        let latency_ms = outstanding.finish(status, load);
        let response = match result {
            Ok((header, body)) => CallResponse {
                code: header.code,
                status: header.status,
                headers: header.headers,
                body,
                retry_after: header.retry_after,
            },
            Err(error) => {
                if matches!(
                    error.code(),
                    ResultCode::PeerUnreachable | ResultCode::ConnectionLost
                ) {
                    self.shared
                        .send_event(ControlEvent::Unreachable { peer: to });
                }
                CallResponse::from_error(&error)
            }
        };
        TimedResponse {
            response,
            latency_ms,
        }
    }

    async fn exchange(
        &self,
        call: &ResolvedCall,
        to: NodeAddress,
        now: ClockTime,
        attempt: u8,
        key: Option<&AttemptKey>,
    ) -> Result<(CallResponseHeader, bytes::Bytes)> {
        let header = call.header(self.address, now, attempt, key);
        let body = call.request.body.clone();
        if to == self.address {
            Ok(self.local.call(header, body).await)
        } else {
            self.peers.call(to, header, body).await
        }
    }
}

fn completion_status_of(code: ResultCode) -> CompletionStatus {
    match code {
        ResultCode::Ok => CompletionStatus::Responded,
        ResultCode::PeerUnreachable | ResultCode::BackendUnreachable => CompletionStatus::Failed,
        // Refusals and deadlines that passed before sending do not indicate a faulty endpoint.
        code if code.outcome() == CallOutcome::NotRun => CompletionStatus::Refused,
        _ => CompletionStatus::Failed,
    }
}
