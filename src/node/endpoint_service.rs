use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;

use crate::backend::{BackendServer, WorkGuard};
use crate::call::{CallAnswer, CallRequest};
use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::{NodeAddress, NodeIncarnation, RequestKey, ServiceName};
use crate::node::{BackendRun, KeyClaim, NodeView, SlotGate, SlotGuard, TaskGroup};
use crate::once::{KeyAge, KeyLedger, KeyLimits, KeyOrigin, KeyStart, PlacedKey};
use crate::peer::{CallHeader, CallReply, FenceReply, FenceRequest};

/// Runs calls on the backend server beside the node, within its slots.
pub(crate) struct EndpointService {
    pub(crate) clock: SystemClock,
    pub(crate) address: NodeAddress,
    pub(crate) incarnation: NodeIncarnation,
    pub(crate) service: ServiceName,
    pub(crate) view: Rc<NodeView>,
    pub(crate) gate: SlotGate,
    pub(crate) backend: Rc<dyn BackendServer>,
    pub(crate) ledger: Rc<RefCell<KeyLedger>>,
    pub(crate) key_limits: KeyLimits,
    pub(crate) tasks: Rc<TaskGroup>,
}

/// Holds a refusal or failure with the time after which another attempt is welcome.
type CallFailure = (Error, Option<ClockTime>);

impl EndpointService {
    /// Runs one call and returns its reply; every failure is a reply with a result code.
    pub(crate) async fn call(&self, header: CallHeader, body: Bytes) -> (CallReply, Bytes) {
        self.view.see_stamp(header.sender, header.stamp);
        let (answer, retry_after) = match self.run(header, body).await {
            Ok(answer) => (answer, None),
            Err((error, retry_after)) => (CallAnswer::from_error(&error), retry_after),
        };
        let reply = CallReply {
            code: answer.code,
            status: answer.status,
            headers: answer.headers,
            retry_after,
            load: self.gate.load(),
            stamp: self.view.stamp(),
            body_length: answer.body.len() as u64,
        };
        (reply, answer.body)
    }

    /// Tells the ledger whether another endpoint of the service has been up for the settle time.
    pub(crate) fn observe_members(&self) {
        let members = self.view.members();
        let wall = self.clock.wall_now();
        let settled = members.live(&self.service).any(|view| {
            view.entry.address != self.address && view.entry.uptime(wall) >= self.key_limits.settle
        });
        if settled {
            let now = self.clock.now();
            self.ledger.borrow_mut().observe_settled(now);
        }
    }

    /// Removes keys past their lifetime.
    pub(crate) fn expire_keys(&self) {
        self.ledger.borrow_mut().expire(self.clock.now());
    }

    /// Answers whether a key has run here and fences it if not.
    pub(crate) fn fence(&self, request: &FenceRequest) -> FenceReply {
        let now = self.view.observe();
        if request.service != self.service {
            return FenceReply::Undetermined;
        }
        self.ledger.borrow_mut().fence(now, request)
    }

    async fn run(
        &self,
        header: CallHeader,
        body: Bytes,
    ) -> std::result::Result<CallAnswer, CallFailure> {
        let now = self.view.observe();
        let deadline = now + header.remaining;
        if header.service != self.service {
            let message = format!(
                "this node stands beside {}, not {}",
                self.service, header.service
            );
            return Err((Error::new(ResultCode::NoEndpoint, message), None));
        }
        // What the own entry passed on belongs to work that runs here and must end while the node
        // is leaving.
        if header.sender != self.address {
            self.view.serving().map_err(|error| (error, None))?;
        }
        match header.key.clone() {
            Some(key) if !header.idempotent => self.run_once(header, key, body, deadline).await,
            _ => {
                let guard = self.acquire(&header, deadline).await?;
                let request = backend_request(header, body);
                let run = BackendRun::new(guard, Rc::clone(&self.tasks));
                let hold = run.hold();
                let result = timed_run(&*self.backend, self.clock, request, deadline, hold).await;
                run.complete(result).map_err(|error| (error, None))
            }
        }
    }

    async fn run_once(
        &self,
        header: CallHeader,
        key: RequestKey,
        body: Bytes,
        deadline: ClockTime,
    ) -> std::result::Result<CallAnswer, CallFailure> {
        self.check_owner(&key, header.token)
            .map_err(|error| (error, None))?;
        let now = self.view.observe();
        self.observe_members();
        let origin = self.origin(&header, &key, now);
        let start = self
            .ledger
            .borrow_mut()
            .begin(now, &key, header.token, origin);
        if let KeyStart::Replay(answer) = start {
            return Ok(answer);
        }
        if let Some(code) = start.refusal() {
            let retry_after = match start {
                KeyStart::Settling(wait) => Some(wait),
                _ => None,
            };
            return Err((Error::new(code, code.meaning()), retry_after));
        }
        let mut claim = KeyClaim::new(Rc::clone(&self.ledger), self.clock, key);
        let guard = self.acquire(&header, deadline).await?;
        let (sender, receiver) = oneshot::channel();
        let request = backend_request(header, body);
        let backend = Rc::clone(&self.backend);
        let clock = self.clock;
        let tasks = Rc::clone(&self.tasks);
        claim.mark_written();
        // The work goes on when the caller gives up, so that its outcome can be recorded.
        self.tasks.spawn(async move {
            let run = BackendRun::new(guard, tasks);
            let hold = run.hold();
            let result = timed_run(&*backend, clock, request, deadline, hold).await;
            let result = run.complete(result);
            claim.settle(&result);
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

    /// Refuses a placed key that names another process.
    fn check_owner(&self, key: &RequestKey, token: u64) -> Result<()> {
        let Ok(placed) = key.as_str().parse::<PlacedKey>() else {
            return Ok(());
        };
        // A node that others hold for gone raises its incarnation; the process stays the same.
        let members = self.view.members();
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
            KeyAge::Past
        };
        Err(Error::new(
            PlacedKey::code_when_gone(age),
            "the endpoint that issued the key has restarted",
        ))
    }

    fn origin(&self, header: &CallHeader, key: &RequestKey, now: ClockTime) -> KeyOrigin {
        if header.generated_key {
            return KeyOrigin::Private;
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
        self.gate
            .acquire(header.kind.clone(), header.weight, header.long, deadline)
            .await
            .map_err(|refusal| {
                let error = Error::new(refusal.code, refusal.code.meaning());
                (error, Some(refusal.retry_after))
            })
    }
}

async fn timed_run(
    backend: &dyn BackendServer,
    clock: SystemClock,
    request: CallRequest,
    deadline: ClockTime,
    hold: WorkGuard,
) -> (f64, Result<CallAnswer>) {
    let started = clock.precise_now();
    let remaining = deadline - clock.now();
    if remaining == ClockTime(0) {
        let message = "the deadline passed before the request was written";
        return (0.0, Err(Error::new(ResultCode::DeadlineTooShort, message)));
    }
    let result = backend
        .run(request, remaining, hold)
        .await
        .and_then(accept_answer);
    (clock.precise_now() - started, result)
}

/// Turns the backend server's own refusal into one of the mesh.
fn accept_answer(answer: CallAnswer) -> Result<CallAnswer> {
    let refused = answer.status == 503
        && answer
            .headers
            .iter()
            .any(|(name, value)| name == "x-outcome" && value == "not-run");
    if refused {
        return Err(Error::new(
            ResultCode::Overloaded,
            "the backend server refused the call before running it",
        ));
    }
    Ok(answer)
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
