use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;

use crate::backend::{BackendServer, WorkGuard};
use crate::call::{CallRequest, CallResponse};
use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::{NodeAddress, NodeIncarnation, RequestKey, ServiceName};
use crate::node::{BackendRun, KeyGuard, SharedState, SlotGuard, SlotLimiter, TaskGroup};
use crate::once::{BeginOutcome, KeyAge, KeyLimits, KeyOrigin, KeyRecordStore, PlacedKey};
use crate::peer::{CallHeader, CallResponseHeader, FenceRequest, FenceResponse};

/// Service that runs calls on the local backend server, within its slots.
pub(crate) struct EndpointService {
    pub(crate) clock: SystemClock,
    pub(crate) address: NodeAddress,
    pub(crate) incarnation: NodeIncarnation,
    pub(crate) service: ServiceName,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) limiter: SlotLimiter,
    pub(crate) backend: Rc<dyn BackendServer>,
    pub(crate) key_records: Rc<RefCell<KeyRecordStore>>,
    pub(crate) key_limits: KeyLimits,
    pub(crate) tasks: Rc<TaskGroup>,
}

/// A refusal or failure, with the time after which the call may be retried, if known.
type CallFailure = (Error, Option<ClockTime>);

impl EndpointService {
    /// Runs one call and returns its response, whose header reports a failure by its result code.
    pub(crate) async fn call(
        &self,
        header: CallHeader,
        body: Bytes,
    ) -> (CallResponseHeader, Bytes) {
        self.shared.report_peer_stamp(header.sender, header.stamp);
        let (response, retry_after) = match self.run(header, body).await {
            Ok(response) => (response, None),
            Err((error, retry_after)) => (CallResponse::from_error(&error), retry_after),
        };
        let response_header = CallResponseHeader {
            code: response.code,
            status: response.status,
            headers: response.headers,
            retry_after,
            load: self.limiter.load(),
            stamp: self.shared.stamp(),
            body_length: response.body.len() as u64,
        };
        (response_header, response.body)
    }

    /// Notifies the key record store if another endpoint of the service has been up for the settle
    /// time.
    pub(crate) fn observe_members(&self) {
        let members = self.shared.members();
        let wall_ms = self.clock.unix_time_ms();
        let settled = members.live(&self.service).any(|view| {
            view.entry.address != self.address
                && view.entry.uptime(wall_ms) >= self.key_limits.settle_time
        });
        if settled {
            let now = self.clock.now();
            self.key_records.borrow_mut().record_settled_endpoint(now);
        }
    }

    /// Removes the idempotency keys that are past their lifetime.
    pub(crate) fn expire_keys(&self) {
        self.key_records.borrow_mut().expire(self.clock.now());
    }

    /// Reports whether a key has run on this endpoint, and fences it if it has not.
    pub(crate) fn fence(&self, request: &FenceRequest) -> FenceResponse {
        let now = self.shared.observe();
        if request.service != self.service {
            return FenceResponse::Undetermined;
        }
        self.key_records.borrow_mut().fence(now, request)
    }

    async fn run(
        &self,
        header: CallHeader,
        body: Bytes,
    ) -> std::result::Result<CallResponse, CallFailure> {
        let now = self.shared.observe();
        let deadline = now + header.remaining;
        if header.service != self.service {
            let message = format!(
                "this node stands beside {}, not {}",
                self.service, header.service
            );
            return Err((Error::new(ResultCode::NoEndpoint, message), None));
        }
        // Calls sent by this node itself belong to work in progress on its backend server, which
        // must be able to complete while the node is leaving.
        if header.sender != self.address {
            self.shared
                .manifest_for_new_call()
                .map_err(|error| (error, None))?;
        }
        match header.key.clone() {
            Some(key) if !header.idempotent => {
                self.run_at_most_once(header, key, body, deadline).await
            }
            _ => {
                let guard = self.acquire(&header, deadline).await?;
                let request = backend_request(header, body);
                let run = BackendRun::new(guard, Rc::clone(&self.tasks));
                let work_guard = run.work_guard();
                let result =
                    run_timed(&*self.backend, self.clock, request, deadline, work_guard).await;
                run.complete(result).map_err(|error| (error, None))
            }
        }
    }

    async fn run_at_most_once(
        &self,
        header: CallHeader,
        key: RequestKey,
        body: Bytes,
        deadline: ClockTime,
    ) -> std::result::Result<CallResponse, CallFailure> {
        self.check_owner(&key, header.token)
            .map_err(|error| (error, None))?;
        let now = self.shared.observe();
        self.observe_members();
        let origin = self.origin(&header, &key, now);
        let start = self
            .key_records
            .borrow_mut()
            .begin(now, &key, header.token, origin);
        if let BeginOutcome::Replay(response) = start {
            return Ok(response);
        }
        if let Some(code) = start.refusal() {
            let retry_after = match start {
                BeginOutcome::Settling(wait) => Some(wait),
                _ => None,
            };
            return Err((Error::new(code, code.meaning()), retry_after));
        }
        let mut key_guard = KeyGuard::new(Rc::clone(&self.key_records), self.clock, key);
        let guard = self.acquire(&header, deadline).await?;
        let (sender, receiver) = oneshot::channel();
        let request = backend_request(header, body);
        let backend = Rc::clone(&self.backend);
        let clock = self.clock;
        let tasks = Rc::clone(&self.tasks);
        key_guard.mark_sent();
        // Runs in its own task, so that the outcome is recorded even if the caller cancels the
        // call.
        self.tasks.spawn(async move {
            let run = BackendRun::new(guard, tasks);
            let work_guard = run.work_guard();
            let result = run_timed(&*backend, clock, request, deadline, work_guard).await;
            let result = run.complete(result);
            key_guard.finish(&result);
            let _ = sender.send(result);
        });
        receiver
            .await
            .unwrap_or_else(|_| {
                Err(Error::new(
                    ResultCode::ConnectionLost,
                    "the node ended while the call was running",
                ))
            })
            .map_err(|error| (error, None))
    }

    /// Refuses a placed key that was issued for another process.
    fn check_owner(&self, key: &RequestKey, token: u64) -> Result<()> {
        let Ok(placed) = key.as_str().parse::<PlacedKey>() else {
            return Ok(());
        };
        // A node that its peers consider gone raises its incarnation without a restart, so every
        // incarnation from the start of the process to the current one denotes this process.
        let members = self.shared.members();
        let current = members
            .member(&self.address)
            .map_or(self.incarnation, |view| view.entry.incarnation);
        let process = self.incarnation..=current.max(self.incarnation);
        if placed.address() == self.address && process.contains(&placed.incarnation()) {
            return Ok(());
        }
        let age = if token == 0 {
            KeyAge::First
        } else {
            KeyAge::Expired
        };
        Err(Error::new(
            PlacedKey::code_when_gone(age),
            "the endpoint that issued the key has restarted",
        ))
    }

    fn origin(&self, header: &CallHeader, key: &RequestKey, now: ClockTime) -> KeyOrigin {
        if header.generated_key {
            return KeyOrigin::Generated;
        }
        if key.as_str().parse::<PlacedKey>().is_ok() {
            return KeyOrigin::Placed;
        }
        KeyOrigin::Caller {
            elapsed: header.elapsed + (self.clock.now() - now),
        }
    }

    async fn acquire(
        &self,
        header: &CallHeader,
        deadline: ClockTime,
    ) -> std::result::Result<SlotGuard, CallFailure> {
        self.limiter
            .acquire(header.kind.clone(), header.weight, header.long, deadline)
            .await
            .map_err(|refusal| {
                let error = Error::new(refusal.code, refusal.code.meaning());
                (error, Some(refusal.retry_after))
            })
    }
}

/// Runs a request on the backend server and returns the time taken, in ms, with the result.
async fn run_timed(
    backend: &dyn BackendServer,
    clock: SystemClock,
    request: CallRequest,
    deadline: ClockTime,
    work_guard: WorkGuard,
) -> (f64, Result<CallResponse>) {
    let started_ms = clock.elapsed_ms();
    let remaining = deadline - clock.now();
    if remaining == ClockTime(0) {
        let message = "the deadline passed before the request was written";
        return (0.0, Err(Error::new(ResultCode::DeadlineTooShort, message)));
    }
    let result = backend
        .run(request, remaining, work_guard)
        .await
        .and_then(accept_response);
    (clock.elapsed_ms() - started_ms, result)
}

/// Converts a refusal by the backend server (503 with `x-outcome: not-run`) into an error.
fn accept_response(response: CallResponse) -> Result<CallResponse> {
    let refused = response.status == 503
        && response
            .headers
            .iter()
            .any(|(name, value)| name == "x-outcome" && value == "not-run");
    if refused {
        return Err(Error::new(
            ResultCode::Overloaded,
            "the backend server refused the call before running it",
        ));
    }
    Ok(response)
}

fn backend_request(header: CallHeader, body: Bytes) -> CallRequest {
    CallRequest {
        method: header.method,
        path: header.path,
        headers: header.headers,
        body,
        remaining: Some(header.remaining),
        key: header.key,
        first_attempt_age: None,
        depth: header.depth,
        attempt: header.attempt,
        stamp: Some(header.stamp),
    }
}
