use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::clock::ClockTime;
use crate::cold::ColdRoom;
use crate::error::ResultCode;
use crate::forwarding::{acquire_error_outcome, log_failure, not_run};
use crate::held_body::RequestBody;
use crate::memory::MemoryClaim;
use crate::mesh::EndpointState;
use crate::node::TaskGroup;
use crate::quarantine::CrashGuard;
use crate::rate_limit::ArrivalPacer;
use crate::shedding::{ParentId, ParentTable};
use crate::sidecar::call_table::{CallRecord, CallTable};
use crate::sidecar::endpoint_client::EndpointClient;
use crate::sidecar::forward_message::{
    ForwardOutcome, ForwardRequestHeader, ForwardResponse, ResumeHeader,
};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::slot_semaphore::{AcquireError, SlotSemaphore};
use crate::sidecar::{LateRequest, SlotUrgency};

/// Retention time of a fence. It exceeds the time that any forwarded request has left, so a fenced
/// request cannot arrive after its fence has expired.
const FENCE_TIME: ClockTime = ClockTime(60_000);
/// A queued request is refused after this multiple of its maximum queue wait, plus the margin.
const WAIT_TOLERANCE_FACTOR: f64 = 1.5;
const WAIT_MARGIN: ClockTime = ClockTime(20);
/// Multiple of the mean time at this endpoint that must remain when a request starts. With the mean alone,
/// half of those that start last would be cut off at their deadline, after they have held a slot.
const TAIL_FACTOR: f64 = 1.5;
/// Largest slowness that counts for that time. After a start of all endpoints, senders and this node learn
/// the same longer times, and would count them twice.
const MAX_TAIL_SLOWNESS: f64 = 1.25;
/// Time after a lost connection in which the others of a crash are lost as well.
const CRASH_CONFIRM_DELAY: ClockTime = ClockTime(20);
/// Weight of the newest request in the moving average of the retry share.
const RETRY_SAMPLE_WEIGHT: f64 = 0.02;
/// Tolerance between the age of a call measured by its sender and by this process.
const AGE_TOLERANCE: ClockTime = ClockTime(100);

/// Service that runs forwarded requests on the local endpoint, within its slots.
pub(crate) struct InboundService {
    pub(crate) state: Rc<NodeState>,
    /// Random identifier of this process.
    pub(crate) process: u64,
    pub(crate) slots: Rc<SlotSemaphore>,
    /// Room for requests while the endpoint is cold.
    pub(crate) room: Rc<ColdRoom>,
    pub(crate) pacer: Rc<ArrivalPacer>,
    pub(crate) client: EndpointClient,
    pub(crate) crashes: CrashGuard,
    pub(crate) calls: CallTable,
    pub(crate) tasks: Rc<TaskGroup>,
    /// Moving average of the share of retries among the requests sent to the endpoint.
    pub(crate) retry_share: Cell<f64>,
    /// Requests that run at the endpoint, which may send calls.
    pub(crate) parents: RefCell<ParentTable>,
    /// Whether requests from other nodes are refused because this node is shutting down.
    pub(crate) closed: Cell<bool>,
}

/// Hook called before the request is sent to the endpoint.
type StartHook<'a> = &'a dyn Fn();

impl InboundService {
    /// Runs an idempotent request. Dropping the future aborts it.
    pub(crate) async fn run(
        self: &Rc<Self>,
        header: &ForwardRequestHeader,
        body: RequestBody,
    ) -> ForwardResponse {
        self.run_with_hook(header, body, &|| {}).await
    }

    /// Starts a non-idempotent request, which continues if the connection to the sender is lost. `claim`
    /// is the memory of its body, unless another owner holds it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the sender has already abandoned the call.
    pub(crate) fn submit(
        self: &Rc<Self>,
        header: ForwardRequestHeader,
        body: RequestBody,
        claim: Option<MemoryClaim>,
    ) -> Result<Rc<CallRecord>, Box<ForwardResponse>> {
        let now = self.state.clock.now();
        if self.calls.get(header.call).is_some() {
            let outcome = not_run(ResultCode::KeyFenced, ClockTime(0));
            return Err(Box::new(self.response(now, outcome)));
        }
        let deadline = now + header.remaining;
        let (record, cancelled) = self.calls.insert(now, header.call, deadline);
        let service = Rc::clone(self);
        let call = Rc::clone(&record);
        self.tasks.spawn(async move {
            let on_start = || call.start();
            let running = std::pin::pin!(service.run_with_hook(&header, body, &on_start));
            // A cancellation by the sender only takes effect before the call has started.
            match future::select(running, cancelled).await {
                Either::Left((response, _)) => call.finish(response),
                Either::Right((_, running)) if call.is_started() => {
                    call.finish(running.await);
                }
                Either::Right(_) => {
                    log::debug!("request {}: cancelled before it started", header.request_id);
                }
            }
            drop(claim);
        });
        Ok(record)
    }

    /// Returns the result of a call whose connection was lost.
    pub(crate) async fn resume(&self, header: &ResumeHeader) -> ForwardResponse {
        let now = self.state.clock.now();
        if let Some(record) = self.calls.get(header.call) {
            return match record.wait().await {
                Some(response) => response,
                None => self.response(now, not_run(ResultCode::PeerUnreachable, ClockTime(0))),
            };
        }
        // A process that started after the call was sent has no record of what an earlier process
        // ran.
        if self.state.clock.uptime() <= header.age + AGE_TOLERANCE {
            let code = ResultCode::ConnectionLost;
            return self.response(now, ForwardOutcome::Unknown { code });
        }
        self.calls.fence(now, header.call, now + FENCE_TIME);
        self.response(now, not_run(ResultCode::PeerUnreachable, ClockTime(0)))
    }

    async fn run_with_hook(
        self: &Rc<Self>,
        header: &ForwardRequestHeader,
        body: RequestBody,
        on_start: StartHook<'_>,
    ) -> ForwardResponse {
        let arrived = self.state.clock.now();
        let deadline = arrived + header.remaining;
        if header.remaining == ClockTime(0) {
            return self.refusal(arrived, header, ResultCode::DeadlineTooShort);
        }
        if let Some(code) = self.refusal_code(header) {
            return self.refusal(arrived, header, code);
        }
        if let Some(change) = header.known_limit.and_then(|rate| self.pacer.adopt(rate)) {
            log::info!(
                "event=endpoint_limit_adopted endpoint={} {change}",
                header.endpoint
            );
        }
        let urgency = SlotUrgency {
            priority: header.priority,
            objective: header.objective,
            work: header.work,
            remaining: header.remaining,
            holds_work: header.holds_work,
        };
        // The expected wait is only an estimate; a request that queues for much longer is refused.
        let limit = ClockTime((header.max_queue_wait.as_f64() * WAIT_TOLERANCE_FACTOR) as u64);
        let slowness = self.slots.speed.borrow().slowness(arrived);
        let needed = header.work.as_f64() * slowness.clamp(1.0, MAX_TAIL_SLOWNESS) * TAIL_FACTOR;
        let last_start = arrived + (header.remaining - ClockTime(needed as u64));
        let until = last_start.min(arrived + limit + WAIT_MARGIN);
        let mut solo = None;
        let mut is_suspected = header.follows_loss;
        if let RequestBody::Ready(body) = &body {
            if self.crashes.is_quarantined(header, body) {
                return self.refusal(arrived, header, ResultCode::RequestQuarantined);
            }
            is_suspected |= self.crashes.is_suspected(header, body);
        }
        if is_suspected {
            solo = self.crashes.run_alone(until - arrived).await;
            if solo.is_none() {
                let outcome = acquire_error_outcome(AcquireError::Busy(until - arrived));
                return self.endpoint_response(arrived, header, outcome);
            }
        }
        let slot = self
            .slots
            .acquire(urgency, header.max_queue_wait, until)
            .await;
        if header.has_homes {
            let mut scarcity = self.slots.scarcity.borrow_mut();
            scarcity.record(self.state.clock.now(), slot.is_err());
        }
        let mut slot = match slot {
            Ok(slot) => slot,
            Err(error) => {
                return self.endpoint_response(arrived, header, acquire_error_outcome(error));
            }
        };
        let body = match body {
            RequestBody::Ready(body) => body,
            RequestBody::Held(held) => match held.fetch().await {
                Some(body) => body,
                None => {
                    let code = ResultCode::PeerUnreachable;
                    return self.refusal(arrived, header, code);
                }
            },
        };
        if solo.is_none() && self.crashes.is_suspected(header, &body) {
            let left = until - self.state.clock.now();
            solo = self.crashes.run_alone(left).await;
            if solo.is_none() {
                return self.refusal(arrived, header, ResultCode::QueueTimeout);
            }
        }
        // The endpoint may have started draining while the request was queued.
        if let Some(code) = self.refusal_code(header) {
            return self.refusal(arrived, header, code);
        }
        if self.crashes.is_quarantined(header, &body) {
            return self.refusal(arrived, header, ResultCode::RequestQuarantined);
        }
        on_start();
        let waited = self.state.clock.now() - arrived;
        self.state.metrics.record_slot_wait(waited);
        let repeated = f64::from(u8::from(header.repeated));
        let share = self.retry_share.get();
        self.retry_share
            .set(share + RETRY_SAMPLE_WEIGHT * (repeated - share));
        let parent = self.parents.borrow_mut().begin(deadline, header.priority);
        let _running = RunningParent {
            service: self,
            parent,
        };
        let started = self.state.clock.now();
        let result = self.client.run(header, &body, deadline).await;
        if self.is_leaving(header) {
            self.slots.reject_waiting();
        }
        let outcome = result.outcome;
        let worked = self.state.clock.now() - started;
        match outcome {
            ForwardOutcome::Unknown {
                code: ResultCode::ConnectionLost,
            } if self.crashes.record_loss(header, &body) => {
                let service = Rc::clone(self);
                let header = header.clone();
                self.tasks
                    .spawn(async move { service.confirm_crash(&header).await });
            }
            ForwardOutcome::Completed { .. } => self.crashes.record_completion(header, &body),
            _ => {}
        }
        log_failure(header, &outcome, waited, worked);
        if matches!(outcome, ForwardOutcome::Completed { .. }) {
            slot.mark_used();
            let mut speed = self.slots.speed.borrow_mut();
            speed.record(self.state.clock.now(), header.work, worked);
        }
        drop(slot);
        drop(solo);
        let mut response = self.endpoint_response(arrived, header, outcome);
        response.header.worked = Some(worked);
        response.header.body_length = result.body.len() as u64;
        response.body = result.body;
        response.claim = result.claim;
        response
    }

    /// Returns the reason why the endpoint must not receive new requests, if any.
    ///
    /// Also applies the capacity that a ready endpoint publishes.
    fn refusal_code(&self, header: &ForwardRequestHeader) -> Option<ResultCode> {
        let endpoint = &header.endpoint;
        if self.is_leaving(header) {
            return Some(ResultCode::NodeLeaving);
        }
        let directory = self.state.directory.borrow();
        if self.client.serves_other_endpoint(endpoint) {
            return Some(ResultCode::NoEndpoint);
        }
        if self.state.evacuations.borrow().contains(&self.state.zone) {
            return Some(ResultCode::ZoneEvacuated);
        }
        if directory.is_gone(endpoint) {
            return Some(ResultCode::NodeLeaving);
        }
        let record = directory.record(endpoint)?;
        match record.state {
            _ if record.address != self.client.address() => Some(ResultCode::NoEndpoint),
            EndpointState::Draining => Some(ResultCode::NodeLeaving),
            EndpointState::Ready => {
                self.slots.set_capacity(record.capacity as usize);
                None
            }
        }
    }

    /// Reports a crash if the endpoint, which was to go on running, refuses connections.
    async fn confirm_crash(&self, header: &ForwardRequestHeader) {
        time::sleep(CRASH_CONFIRM_DELAY.to_duration()).await;
        let is_running = !self.client.refuses_connections().await;
        if is_running || self.refusal_code(header).is_some() {
            self.crashes.dismiss();
        } else {
            self.crashes.record_crash(header);
        }
    }

    /// Returns whether the endpoint of a request has said that it shuts down.
    pub(crate) fn is_leaving(&self, header: &ForwardRequestHeader) -> bool {
        let leaving = self.state.leaving.borrow();
        leaving.contains(&header.endpoint, header.endpoint_born)
    }

    /// Returns the time left for a request that has just been read.
    ///
    /// The request may have waited in the socket buffer while the process was paused.
    pub(crate) fn remaining(&self, header: &ForwardRequestHeader) -> ClockTime {
        let sent = header.sent_at.filter(|sent| sent.process == self.process);
        let age = sent.map_or(ClockTime(0), |sent| self.state.clock.now() - sent.time);
        header.remaining - age
    }

    /// Limits the time of a forwarded request to that of a planned stop; returns false if the
    /// request is refused because its result may not be ready before the process ends.
    pub(crate) fn admits_forwarded(&self, header: &mut ForwardRequestHeader) -> bool {
        let Some(schedule) = self.state.stop_schedule() else {
            return true;
        };
        let now = self.state.clock.now();
        let late_request = LateRequest {
            deadline: now + header.remaining,
            expected: header.work,
            is_idempotent: header.idempotent,
        };
        header.remaining = header.remaining.min(schedule.answers_by - now);
        !self.closed.get() && schedule.admits(now, &late_request)
    }
}

/// Guard that counts a request as running at the endpoint until it is dropped.
struct RunningParent<'a> {
    service: &'a InboundService,
    parent: ParentId,
}

impl Drop for RunningParent<'_> {
    fn drop(&mut self) {
        self.service.parents.borrow_mut().end(self.parent);
    }
}
