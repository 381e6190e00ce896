use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use monoio::time;

use crate::clock::ClockTime;
use crate::error::{CallOutcome, Error, Result, ResultCode};
use crate::held_body::RequestBody;
use crate::id::{EndpointId, NodeAddress};
use crate::memory::{MemoryAccount, MemoryClaim};
use crate::mesh::EndpointRecord;
use crate::peer::PeerPool;
use crate::retry::AttemptCause;
use crate::sidecar::attempt_outcome::AttemptOutcome;
use crate::sidecar::call_id::CallId;
use crate::sidecar::call_table::CallRecord;
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::forward_handler::{FORWARD_PATH, HELD_FORWARD_PATH, RESUME_PATH};
use crate::sidecar::forward_message::{
    ForwardCodec, ForwardRequestHeader, ForwardResponse, ForwardResponseHeader,
    MAX_FORWARD_HEADER_BYTES, ResumeHeader,
};
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::load_balancer::LoadBalancer;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::{PeerClock, RemoteTime, SidecarSettings};

/// Interval between resume requests for a call whose connection was lost.
const RESUME_INTERVAL: ClockTime = ClockTime(100);
/// Connection attempts that fail within this time were refused, which means that the process no
/// longer runs.
const CONNECTION_REFUSED_TIME: ClockTime = ClockTime(60);

/// Sender of single attempts of a request to endpoints, which records their outcomes.
pub(crate) struct AttemptSender {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) inbound: Rc<InboundService>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) memory: Rc<MemoryAccount>,
    pub(crate) balancer: Rc<LoadBalancer>,
    /// Random identifier of this process.
    pub(crate) process: u64,
    pub(crate) next_call: Cell<u64>,
    pub(crate) clocks: RefCell<HashMap<NodeAddress, PeerClock>>,
}

impl AttemptSender {
    /// Sends a request to one endpoint and returns the outcome of the attempt.
    pub(crate) async fn attempt(
        &self,
        request: &OutboundRequest,
        record: &EndpointRecord,
        max_queue_wait: ClockTime,
        cause: AttemptCause,
    ) -> AttemptOutcome {
        let started = self.state.clock.now();
        let call = CallId {
            sender: self.process,
            number: self.next_call.replace(self.next_call.get() + 1),
        };
        let header = ForwardRequestHeader {
            call,
            endpoint: record.id.clone(),
            endpoint_born: record.born,
            request_id: request.id.clone(),
            caller: self.settings.service.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.clone(),
            body_length: request.body.len() as u64,
            remaining: request.deadline - started,
            sent_at: self.remote_time(self.balancer.node_address(record)),
            max_queue_wait,
            work: ClockTime(self.balancer.processing_ms(request) as u64),
            priority: match request.parent_priority {
                Some(parent) => request.rule.priority.min(parent),
                None => request.rule.priority,
            },
            objective: request.rule.objective,
            idempotent: request.rule.idempotent,
            repeated: cause != AttemptCause::First,
            follows_loss: cause == AttemptCause::Loss,
            holds_work: request.parent_priority.is_some(),
            known_limit: self.balancer.endpoints.borrow().known_limit(&record.id),
            has_homes: !request.rule.homes.is_unrestricted(),
        };
        let slow = self.balancer.slow_threshold(request);
        let mut guard = InFlightGuard::new(self, &record.id, started + slow);
        let result = if record.address == self.inbound.client.address() {
            self.run_locally(header, request).await
        } else {
            self.send(header, record, request, started).await
        };
        guard.is_complete = true;
        drop(guard);
        let elapsed = self.state.clock.now() - started;
        match result {
            Ok(response) => self.record_response(request, record, response, elapsed),
            Err(error) if error.outcome() == CallOutcome::NotRun => {
                log::info!(
                    "event=node_unreachable request={} endpoint={} cause=\"{}\"",
                    request.id,
                    record.id,
                    error.message()
                );
                let now = self.state.clock.now();
                self.balancer.endpoints.borrow_mut().eject(&record.id, now);
                AttemptOutcome::NotRun {
                    code: error.code(),
                    wait: ClockTime(0),
                    reached_endpoint: false,
                }
            }
            Err(error) => {
                log::info!(
                    "event=outcome_unknown request={} endpoint={} cause=\"{}\"",
                    request.id,
                    record.id,
                    error.message()
                );
                let now = self.state.clock.now();
                let mut endpoints = self.balancer.endpoints.borrow_mut();
                endpoints.record_failure(&record.id, now);
                AttemptOutcome::Failed(ClientResponse::local(error.code(), None))
            }
        }
    }

    async fn run_locally(
        &self,
        header: ForwardRequestHeader,
        request: &OutboundRequest,
    ) -> Result<ForwardResponse> {
        if header.idempotent {
            let body = RequestBody::Ready(request.body.clone());
            return Ok(self.inbound.run(&header, body).await);
        }
        let record =
            match self
                .inbound
                .submit(header, RequestBody::Ready(request.body.clone()), None)
            {
                Ok(record) => record,
                Err(response) => return Ok(*response),
            };
        let guard = CancelOnDrop(&record);
        let response = record.wait().await;
        drop(guard);
        response.ok_or_else(|| {
            Error::new(
                ResultCode::NodeLeaving,
                "request cancelled before it started",
            )
        })
    }

    async fn send(
        &self,
        header: ForwardRequestHeader,
        record: &EndpointRecord,
        request: &OutboundRequest,
        started: ClockTime,
    ) -> Result<ForwardResponse> {
        let to = self.balancer.node_address(record);
        let head = ForwardCodec::encode(&header)?;
        let claim = self.memory.open();
        let admits = |size: usize| claim.resize(size as u64);
        let body = request.body.clone();
        let pool = &self.pool;
        let sent = if self.balancer.holds_body(request, record, started) {
            self.state.metrics.record_held_body();
            pool.request_held::<ForwardResponseHeader, _, MAX_FORWARD_HEADER_BYTES>(
                to,
                HELD_FORWARD_PATH,
                head,
                body,
                admits,
            )
            .await
        } else {
            pool.request_while::<ForwardResponseHeader, _, MAX_FORWARD_HEADER_BYTES>(
                to,
                FORWARD_PATH,
                head,
                body,
                admits,
            )
            .await
        };
        let sent = sent.and_then(|response| check_body_length(response, claim));
        match sent {
            Err(error) if !header.idempotent && error.outcome() != CallOutcome::NotRun => {
                log::info!(
                    "event=resume request={} node={to} cause=\"{}\"",
                    request.id,
                    error.message()
                );
                self.resume(to, header.call, started, error).await
            }
            sent => sent,
        }
    }

    /// Returns the current time on the clock of another node, if a response has been received from
    /// it.
    fn remote_time(&self, node: NodeAddress) -> Option<RemoteTime> {
        let now = self.state.clock.now();
        self.clocks.borrow().get(&node).map(|clock| clock.at(now))
    }

    /// Requests the result of a non-idempotent call over a new connection, until the node responds
    /// or its process is known to have ended.
    async fn resume(
        &self,
        to: NodeAddress,
        call: CallId,
        started: ClockTime,
        cause: Error,
    ) -> Result<ForwardResponse> {
        let clock = self.state.clock;
        loop {
            let sent_at = clock.now();
            let header = ResumeHeader {
                call,
                age: sent_at - started,
            };
            let head = ForwardCodec::encode(&header)?;
            let claim = self.memory.open();
            let reply = self
                .pool
                .request_while::<ForwardResponseHeader, _, MAX_FORWARD_HEADER_BYTES>(
                    to,
                    RESUME_PATH,
                    head,
                    Bytes::new(),
                    |size| claim.resize(size as u64),
                )
                .await
                .and_then(|response| check_body_length(response, claim));
            let error = match reply {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let refused = error.code() == ResultCode::PeerUnreachable
                && clock.now() - sent_at < CONNECTION_REFUSED_TIME;
            if refused {
                return Err(cause);
            }
            time::sleep(RESUME_INTERVAL.to_duration()).await;
        }
    }
}

/// Guard that counts an attempt as in flight until it is dropped.
///
/// An attempt abandoned after the slow threshold counts as a failure, because an endpoint that
/// hangs never responds.
struct InFlightGuard<'a> {
    sender: &'a AttemptSender,
    id: EndpointId,
    slow_at: ClockTime,
    is_complete: bool,
}

impl<'a> InFlightGuard<'a> {
    fn new(sender: &'a AttemptSender, id: &EndpointId, slow_at: ClockTime) -> Self {
        sender.balancer.endpoints.borrow_mut().begin_request(id);
        Self {
            sender,
            id: id.clone(),
            slow_at,
            is_complete: false,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let now = self.sender.state.clock.now();
        let mut endpoints = self.sender.balancer.endpoints.borrow_mut();
        endpoints.end_request(&self.id);
        if !self.is_complete && now >= self.slow_at {
            endpoints.record_failure(&self.id, now);
        }
    }
}

/// Guard that cancels a call when dropped, if the call has not started.
struct CancelOnDrop<'a>(&'a CallRecord);

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

/// Checks that the body has the length stated in the header.
fn check_body_length(
    (header, body): (ForwardResponseHeader, Bytes),
    claim: MemoryClaim,
) -> Result<ForwardResponse> {
    if body.len() as u64 == header.body_length {
        return Ok(ForwardResponse {
            header,
            body,
            claim: Some(Rc::new(claim)),
        });
    }
    let message = format!(
        "response body length mismatch: got {} of {} bytes",
        body.len(),
        header.body_length
    );
    Err(Error::new(ResultCode::ConnectionLost, message))
}
