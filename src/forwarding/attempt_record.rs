//! What a node learns of an endpoint and its node from the response to an attempt.

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::mesh::EndpointRecord;
use crate::sidecar::PeerClock;
use crate::sidecar::attempt_outcome::AttemptOutcome;
use crate::sidecar::attempt_sender::AttemptSender;
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::forward_message::{ForwardOutcome, ForwardResponse};
use crate::sidecar::outbound_request::OutboundRequest;

impl AttemptSender {
    /// Records what the response to an attempt says about its endpoint and node.
    pub(crate) fn record_response(
        &self,
        request: &OutboundRequest,
        record: &EndpointRecord,
        response: ForwardResponse,
        elapsed: ClockTime,
    ) -> AttemptOutcome {
        let now = self.state.clock.now();
        let header = response.header;
        let latency = elapsed.as_f64() - header.elapsed.as_f64();
        let clock = PeerClock::new(header.responded_at, now);
        let node = self.balancer.node_address(record);
        self.clocks.borrow_mut().insert(node, clock);
        if header.is_leaving {
            let mut leaving = self.state.leaving.borrow_mut();
            leaving.record(now, &record.id, record.born);
        }
        if let Some(age) = header.view_age {
            let mut fresh_peers = self.state.fresh_peers.borrow_mut();
            fresh_peers.record(node.0.ip(), now - age);
        }
        let mut endpoints = self.balancer.endpoints.borrow_mut();
        endpoints.record_response(&record.id, now, header.load, latency.max(0.0));
        match header.outcome {
            ForwardOutcome::Completed { status, .. } if !(200..=599).contains(&status) => {
                log::warn!(
                    "event=invalid_status request={} endpoint={} status={status}",
                    request.id,
                    record.id
                );
                endpoints.record_failure(&record.id, now);
                let code = ResultCode::AnswerMalformed;
                AttemptOutcome::Failed(ClientResponse::local(code, None))
            }
            ForwardOutcome::Completed { status, headers } => {
                let processing_ms = header.worked.unwrap_or_default().as_f64();
                let route = &request.rule.name;
                let mut routes = self.balancer.routes.borrow_mut();
                routes.record(route, processing_ms, elapsed.as_f64());
                let response = ClientResponse {
                    status,
                    headers,
                    body: response.body,
                    code: ResultCode::Ok,
                    claim: response.claim,
                };
                if status >= 500 {
                    endpoints.record_failure(&record.id, now);
                    let code = ResultCode::EndpointFailed;
                    return AttemptOutcome::Failed(ClientResponse { code, ..response });
                }
                endpoints.record_success(&record.id);
                AttemptOutcome::Response(response)
            }
            ForwardOutcome::NotRun {
                code,
                wait,
                reached_endpoint,
            } => {
                log::debug!(
                    "event=refused request={} endpoint={} code={code} wait={wait}",
                    request.id,
                    record.id
                );
                if matches!(
                    code,
                    ResultCode::BackendUnreachable
                        | ResultCode::NodeLeaving
                        | ResultCode::NoEndpoint
                        | ResultCode::ZoneEvacuated
                ) {
                    endpoints.eject(&record.id, now);
                }
                // A wrong request says nothing about the endpoint.
                if reached_endpoint && code != ResultCode::MalformedRequest {
                    endpoints.record_failure(&record.id, now);
                } else if code == ResultCode::Overloaded {
                    endpoints.record_refusal(&record.id, now);
                }
                AttemptOutcome::NotRun {
                    code,
                    wait,
                    reached_endpoint,
                }
            }
            ForwardOutcome::Unknown { code } => {
                log::info!(
                    "event=outcome_unknown request={} endpoint={} code={code}",
                    request.id,
                    record.id
                );
                endpoints.record_failure(&record.id, now);
                AttemptOutcome::Failed(ClientResponse::local(code, None))
            }
        }
    }
}
