//! What the response of the endpoint proves about a request.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};

use crate::caller;
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::memory::MemoryClaim;
use crate::sidecar::endpoint_client::EndpointClient;
use crate::sidecar::forward_message::{ForwardOutcome, ForwardRequestHeader, HeaderFields};
use crate::sidecar::{AnswerVerdict, EndpointAnswer};

/// Complete response of the endpoint.
pub(crate) struct EndpointResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) claim: MemoryClaim,
    /// Maximum idle time of the connection; `None` if it cannot be reused.
    pub(crate) idle_limit: Option<ClockTime>,
}

/// Result of a request at the endpoint.
pub(crate) struct EndpointResult {
    pub(crate) outcome: ForwardOutcome,
    /// Body of the response.
    pub(crate) body: Bytes,
    /// Memory of the body.
    pub(crate) claim: Option<Rc<MemoryClaim>>,
}

impl EndpointResult {
    /// Creates a result without a body.
    pub(crate) fn empty(outcome: ForwardOutcome) -> Self {
        Self {
            outcome,
            body: Bytes::new(),
            claim: None,
        }
    }
}

impl EndpointClient {
    /// Returns whether the endpoint states that it has not run the request.
    pub(crate) fn is_refusal(&self, response: &EndpointResponse) -> bool {
        response.headers.contains_key(&self.names.not_run) || response.status.as_u16() == 421
    }

    /// Turns a response into the result that it proves.
    pub(crate) fn classify(
        &self,
        response: EndpointResponse,
        header: &ForwardRequestHeader,
    ) -> EndpointResult {
        let status = response.status.as_u16();
        let has = |name| response.headers.contains_key(name);
        let answer = EndpointAnswer {
            status,
            states_not_run: has(&self.names.not_run),
            has_request_id: has(&self.names.request_id),
            has_proof: has(&self.names.endpoint_proof),
            is_encoded: response.headers.contains_key(header::CONTENT_ENCODING),
        };
        self.record_status(&answer, header);
        let is_identified = !header.request_id.is_empty();
        let verdict = answer.verdict(header.idempotent, is_identified);
        if verdict == AnswerVerdict::NotRun(ResultCode::NoEndpoint) {
            let name = response.headers.get(&self.names.responding_endpoint);
            let name = name.and_then(|value| value.to_str().ok());
            *self.responding_endpoint.borrow_mut() = name.map(str::to_owned);
            self.room.suspect("another endpoint responded");
        }
        match verdict {
            AnswerVerdict::NotRun(code) => {
                EndpointResult::empty(endpoint_not_run(code, status != 421))
            }
            AnswerVerdict::Unknown(code) => EndpointResult::empty(ForwardOutcome::Unknown { code }),
            AnswerVerdict::Final => {
                let headers = end_to_end_headers(&response.headers);
                EndpointResult {
                    outcome: ForwardOutcome::Completed { status, headers },
                    body: response.body,
                    claim: Some(Rc::new(response.claim)),
                }
            }
        }
    }

    /// Logs and counts a response whose status states that the request is wrong.
    fn record_status(&self, answer: &EndpointAnswer, header: &ForwardRequestHeader) {
        let status = answer.status;
        if !matches!(status, 300..=499) || matches!(status, 421 | 429) {
            return;
        }
        let proven = answer.is_proven();
        self.state.metrics.record_endpoint_status(status, proven);
        log::info!(
            "event=endpoint_status request={} endpoint={} status={status} not_run={} id={} proof={} encoded={}",
            header.request_id,
            header.endpoint,
            answer.states_not_run,
            answer.has_request_id,
            answer.has_proof,
            answer.is_encoded
        );
    }
}

/// Returns the outcome of a request that the endpoint has not run.
pub(crate) fn endpoint_not_run(code: ResultCode, reached_endpoint: bool) -> ForwardOutcome {
    ForwardOutcome::NotRun {
        code,
        reached_endpoint,
        wait: ClockTime(0),
    }
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderFields {
    headers
        .iter()
        .filter(|(name, _)| !caller::is_hop_by_hop_header(name.as_str(), headers))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
