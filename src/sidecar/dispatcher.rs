use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, Either};
use monoio::time;
use smallvec::SmallVec;

use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::{EndpointId, NodeAddress, ServiceName};
use crate::mesh::{EndpointRecord, RouteRule};
use crate::peer::PeerPool;
use crate::sidecar::answer::Answer;
use crate::sidecar::call_id::CallId;
use crate::sidecar::endpoint_stats::EndpointStats;
use crate::sidecar::entry_request::EntryRequest;
use crate::sidecar::exit_service::ExitService;
use crate::sidecar::forward_message::{
    FORWARD_LIMIT, ForwardAnswer, ForwardCodec, ForwardHeader, ForwardOutcome, ForwardReply,
    ResumeHeader,
};
use crate::sidecar::forward_streams::{FORWARD_PATH, RESUME_PATH};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::route_stats::RouteStats;
use crate::sidecar::{
    PeerClock, RemoteTime, RepeatAllowance, RepeatBudget, SidecarSettings, TargetPicker,
};

/// Expected network time in ms to an endpoint in the same zone, region, or elsewhere, until the
/// first answer shows it.
const ZONE_NETWORK: f64 = 1.0;
const REGION_NETWORK: f64 = 4.0;
const REMOTE_NETWORK: f64 = 20.0;
/// Cost in ms of a node that owes an answer on its connection, above that of any other one that
/// can be reached.
const SILENCE_COST: f64 = 50_000.0;
/// Multiple of its slots that one node may have under way at an endpoint: those that run, and a
/// queue that is served in the time of one request.
const HELD_FACTOR: u32 = 2;
/// Part of the repeat budget that slow requests may spend; the rest is kept for failed ones.
const HEDGE_PART: f64 = 0.5;
/// Work of a request in ms that is assumed before any answer.
const FIRST_WORK: f64 = 100.0;
/// Part of its objective that a request waits for a slot while other endpoints are left to ask.
const PROBE_PATIENCE: f64 = 0.1;
/// Parts of the objective that an endpoint in another zone or region must be faster to be chosen:
/// bytes between zones and regions are paid, and the link between regions is narrow.
const ZONE_DISTANCE: f64 = 0.05;
const REGION_DISTANCE: f64 = 0.5;
/// Endpoints that are asked for a free slot before the shortest queue is taken.
const PROBE_LIMIT: usize = 3;
/// Factor by which a warming endpoint is taken to be slower.
const WARM_UP_FACTOR: f64 = 2.0;
/// Part of its objective that a request may wait for a slot when it cannot be on time.
const LATE_WAIT_PART: f64 = 0.25;
/// Largest factor by which short work waits longer than its objective suggests; the time-outs of
/// routes are about three to four times their objectives.
const SHORT_WORK_FACTOR: f64 = 4.0;
/// Multiple of the mean work for which time must be left, so that the endpoint is not given work
/// that it has to break off.
const TAIL_FACTOR: f64 = 1.5;
/// Time between two questions about a request whose connection was lost.
const RESUME_PAUSE: ClockTime = ClockTime(100);
/// A connection attempt that fails faster than this was refused: the process is gone.
const REFUSED_TIME: ClockTime = ClockTime(60);
/// Wait that is suggested when no endpoint is known, in which one may appear.
const EMPTY_RETRY: ClockTime = ClockTime(300);

/// Carries requests of clients to endpoints.
pub(crate) struct Dispatcher {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) exit: Rc<ExitService>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) sender: u64,
    pub(crate) next_call: Cell<u64>,
    pub(crate) clocks: RefCell<HashMap<NodeAddress, PeerClock>>,
    pub(crate) picker: RefCell<TargetPicker>,
    pub(crate) endpoints: RefCell<EndpointStats>,
    pub(crate) routes: RefCell<RouteStats>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RepeatBudget>>,
}

type EndpointList = SmallVec<[EndpointId; 4]>;

/// Is the state of one request while it is dispatched.
#[derive(Default)]
struct DispatchState {
    /// Endpoints that are not asked again.
    excluded: EndpointList,
    /// Endpoints that refused with the wait that they expect.
    busy: SmallVec<[(EndpointId, ClockTime); 4]>,
    /// Endpoints in whose queue the request waited in vain.
    queued: EndpointList,
    /// Endpoints that the request may have reached.
    reached: u32,
    last_refusal: Option<ResultCode>,
    /// What each asked endpoint said, for the log.
    trail: String,
    /// Whether an endpoint has been sent the request before.
    repeated: bool,
    /// Whether the last refusal came from an endpoint and not from a queue.
    turned_away: bool,
}

/// Is what one attempt came to.
enum AttemptResult {
    Answer(Answer),
    /// The endpoint has not run the request.
    NotRun {
        code: ResultCode,
        wait: ClockTime,
        /// Whether the request reached the endpoint, so that another attempt repeats it.
        reached: bool,
    },
    /// The endpoint failed, or nobody knows; with the answer to give when nothing is tried again.
    Failed(Answer),
}

impl Dispatcher {
    /// Runs a request and returns the final answer; dropping the future cancels the work.
    pub(crate) async fn dispatch(&self, request: &EntryRequest) -> Answer {
        let clock = self.state.clock;
        let now = clock.now();
        self.budget(&request.service, |budget| budget.record(now));
        let left = request.deadline - now;
        let mut progress = DispatchState::default();
        let running = self.run(request, &mut progress);
        let answer = match time::timeout(left.to_duration(), running).await {
            Ok(answer) => answer,
            Err(_) => Answer::own(ResultCode::DeadlinePassed, None),
        };
        self.log_outcome(request, &answer, &progress);
        answer
    }

    async fn run(&self, request: &EntryRequest, progress: &mut DispatchState) -> Answer {
        loop {
            let now = self.state.clock.now();
            if now >= request.deadline {
                return Answer::own(ResultCode::DeadlineTooShort, Some(ClockTime(0)));
            }
            let Some((record, patience)) = self.choose(request, progress, now) else {
                return self.refuse(request, progress);
            };
            let result = if request.rule.idempotent {
                self.attempt_hedged(request, progress, &record, patience)
                    .await
            } else {
                progress.reached += 1;
                let repeated = progress.repeated;
                self.attempt(request, &record, patience, repeated).await
            };
            match result {
                AttemptResult::Answer(answer) => return answer,
                AttemptResult::NotRun {
                    code,
                    wait,
                    reached,
                } => {
                    progress.reached = progress.reached.saturating_sub(1);
                    progress.note_refusal(&record.id, code, wait, reached);
                    progress.repeated |= reached;
                    progress.turned_away = reached;
                    if reached && !self.take_repeat(request, 1.0) {
                        return self.refuse(request, progress);
                    }
                    if reached {
                        self.state.metrics.record_repeat("refused");
                    }
                }
                AttemptResult::Failed(answer) => {
                    progress.excluded.push(record.id.clone());
                    progress.note(&record.id, answer.code, ClockTime(0));
                    progress.repeated = true;
                    if !self.may_repeat(request, progress, 1.0) {
                        return answer;
                    }
                    progress.forget_refusals();
                    self.state.metrics.record_repeat("failed");
                    log::info!(
                        "event=repeat request={} endpoint={} code={}",
                        request.id,
                        record.id,
                        answer.code
                    );
                }
            }
        }
    }

    /// Runs an attempt of idempotent work, and a second one elsewhere when the first is slow.
    async fn attempt_hedged(
        &self,
        request: &EntryRequest,
        progress: &mut DispatchState,
        record: &Rc<EndpointRecord>,
        patience: ClockTime,
    ) -> AttemptResult {
        progress.reached += 1;
        let rule = &request.rule;
        let delay = self.routes.borrow().slow_after(&rule.name, rule.objective);
        let first = pin!(self.attempt(request, record, patience, progress.repeated));
        let timer = pin!(time::sleep(delay.to_duration()));
        let first = match future::select(first, timer).await {
            Either::Left((result, _)) => return result,
            Either::Right((_, first)) => first,
        };
        progress.excluded.push(record.id.clone());
        let now = self.state.clock.now();
        let second = self.best(request, &progress.excluded, now);
        let second = second.filter(|second| self.is_worth_asking(request, progress, second, now));
        let Some(second) = second.filter(|_| self.may_repeat(request, progress, HEDGE_PART)) else {
            return first.await;
        };
        self.state.metrics.record_repeat("slow");
        log::info!(
            "event=hedge request={} endpoint={} second={} delay={delay}",
            request.id,
            record.id,
            second.id
        );
        progress.excluded.push(second.id.clone());
        progress.reached += 1;
        let other = pin!(self.attempt(request, &second, ClockTime(0), true));
        match future::select(first, other).await {
            Either::Left((result @ AttemptResult::Answer(_), _)) => result,
            Either::Right((result @ AttemptResult::Answer(_), _)) => result,
            Either::Left((_, other)) => other.await,
            Either::Right((_, first)) => first.await,
        }
    }

    async fn attempt(
        &self,
        request: &EntryRequest,
        record: &EndpointRecord,
        patience: ClockTime,
        repeated: bool,
    ) -> AttemptResult {
        let started = self.state.clock.now();
        let call = CallId {
            sender: self.sender,
            number: self.next_call.replace(self.next_call.get() + 1),
        };
        let header = ForwardHeader {
            call,
            endpoint: record.id.clone(),
            request_id: request.id.clone(),
            caller: self.settings.service.clone(),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.clone(),
            body_length: request.body.len() as u64,
            remaining: request.deadline - started,
            sent_at: self.remote_time(self.node_of(record)),
            patience,
            work: ClockTime(self.work(request) as u64),
            priority: request.rule.priority,
            objective: request.rule.objective,
            idempotent: request.rule.idempotent,
            repeated,
        };
        let guard = FlightGuard::new(&self.endpoints, &record.id);
        let result = if record.address == self.exit.client.address() {
            self.run_here(header, request).await
        } else {
            self.send(header, record, request, started).await
        };
        drop(guard);
        let elapsed = self.state.clock.now() - started;
        match result {
            Ok(answer) => self.conclude(request, record, answer, elapsed),
            Err(error) if error.outcome() == crate::error::CallOutcome::NotRun => {
                log::info!(
                    "event=node_unreachable request={} endpoint={} cause=\"{}\"",
                    request.id,
                    record.id,
                    error.message()
                );
                let now = self.state.clock.now();
                self.endpoints.borrow_mut().unreachable(&record.id, now);
                AttemptResult::NotRun {
                    code: error.code(),
                    wait: ClockTime(0),
                    reached: false,
                }
            }
            Err(error) => {
                log::info!(
                    "event=outcome_unknown request={} endpoint={} cause=\"{}\"",
                    request.id,
                    record.id,
                    error.message()
                );
                self.endpoints.borrow_mut().failed(&record.id);
                AttemptResult::Failed(Answer::own(error.code(), None))
            }
        }
    }

    async fn run_here(
        &self,
        header: ForwardHeader,
        request: &EntryRequest,
    ) -> Result<ForwardAnswer> {
        if header.idempotent {
            return Ok(self.exit.run(&header, &request.body).await);
        }
        let record = match self.exit.submit(header, request.body.clone()) {
            Ok(record) => record,
            Err(answer) => return Ok(*answer),
        };
        let guard = CancelGuard(&record);
        let answer = record.answer().await;
        drop(guard);
        answer.ok_or_else(|| Error::new(ResultCode::NodeLeaving, "the request was canceled"))
    }

    async fn send(
        &self,
        header: ForwardHeader,
        record: &EndpointRecord,
        request: &EntryRequest,
        started: ClockTime,
    ) -> Result<ForwardAnswer> {
        let to = self.node_of(record);
        let head = ForwardCodec::encode(&header)?;
        let sent = self
            .pool
            .request::<ForwardReply, FORWARD_LIMIT>(to, FORWARD_PATH, head, request.body.clone())
            .await
            .and_then(checked);
        match sent {
            Err(error)
                if !header.idempotent && error.outcome() != crate::error::CallOutcome::NotRun =>
            {
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

    /// Returns the present time on the clock of another node, if an answer has shown it.
    fn remote_time(&self, node: NodeAddress) -> Option<RemoteTime> {
        let now = self.state.clock.now();
        self.clocks.borrow().get(&node).map(|clock| clock.at(now))
    }

    /// Asks over a new connection what became of a request that must not run twice.
    async fn resume(
        &self,
        to: NodeAddress,
        call: CallId,
        started: ClockTime,
        cause: Error,
    ) -> Result<ForwardAnswer> {
        let clock = self.state.clock;
        loop {
            let asked = clock.now();
            let header = ResumeHeader {
                call,
                age: asked - started,
            };
            let head = ForwardCodec::encode(&header)?;
            let reply = self
                .pool
                .request::<ForwardReply, FORWARD_LIMIT>(to, RESUME_PATH, head, Bytes::new())
                .await
                .and_then(checked);
            let error = match reply {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let refused =
                error.code() == ResultCode::PeerUnreachable && clock.now() - asked < REFUSED_TIME;
            if refused {
                return Err(cause);
            }
            time::sleep(RESUME_PAUSE.to_duration()).await;
        }
    }

    fn conclude(
        &self,
        request: &EntryRequest,
        record: &EndpointRecord,
        answer: ForwardAnswer,
        elapsed: ClockTime,
    ) -> AttemptResult {
        let now = self.state.clock.now();
        let reply = answer.reply;
        let network = elapsed.as_f64() - reply.elapsed.as_f64();
        let clock = PeerClock::new(reply.answered_at, now);
        self.clocks.borrow_mut().insert(self.node_of(record), clock);
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.heard(&record.id, now, reply.load, network.max(0.0));
        match reply.outcome {
            ForwardOutcome::Answered { status, headers } => {
                let worked = reply.worked.unwrap_or_default().as_f64();
                let route = &request.rule.name;
                let mut routes = self.routes.borrow_mut();
                let mean = routes.work(route).unwrap_or(worked).max(1.0);
                endpoints.worked(&record.id, worked / mean);
                routes.record(route, worked, elapsed.as_f64());
                let own = Answer {
                    status,
                    headers,
                    body: answer.body,
                    code: ResultCode::Ok,
                };
                if status >= 500 {
                    endpoints.failed(&record.id);
                    let code = ResultCode::EndpointFailed;
                    return AttemptResult::Failed(Answer { code, ..own });
                }
                endpoints.succeeded(&record.id);
                AttemptResult::Answer(own)
            }
            ForwardOutcome::NotRun {
                code,
                wait,
                reached,
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
                ) {
                    endpoints.unreachable(&record.id, now);
                }
                if reached {
                    endpoints.failed(&record.id);
                }
                AttemptResult::NotRun {
                    code,
                    wait,
                    reached,
                }
            }
            ForwardOutcome::Unknown { code } => {
                log::info!(
                    "event=outcome_unknown request={} endpoint={} code={code}",
                    request.id,
                    record.id
                );
                endpoints.failed(&record.id);
                AttemptResult::Failed(Answer::own(code, None))
            }
        }
    }

    /// Picks the endpoint to ask next and how long the request may wait there for a slot.
    fn choose(
        &self,
        request: &EntryRequest,
        progress: &mut DispatchState,
        now: ClockTime,
    ) -> Option<(Rc<EndpointRecord>, ClockTime)> {
        if progress.busy.len() < PROBE_LIMIT {
            let mut excluded = progress.excluded.clone();
            excluded.extend(progress.busy.iter().map(|(id, _)| id.clone()));
            let next = self.best(request, &excluded, now);
            let next = next.filter(|record| self.is_worth_asking(request, progress, record, now));
            if let Some(record) = next {
                let probe = self.probe_patience(request, &record);
                let longest = self.longest_wait(request, &record.id, now);
                return Some((record, probe.min(longest)));
            }
        }
        // All have refused: the shortest queue is taken if it still serves the request in time.
        // Distance counts here as well.
        progress
            .busy
            .sort_by_key(|(id, wait)| *wait + self.distance(request, id));
        while !progress.busy.is_empty() {
            let (id, wait) = progress.busy.remove(0);
            let longest = self.longest_wait(request, &id, now);
            if wait > longest {
                progress.busy.insert(0, (id, wait));
                return None;
            }
            progress.excluded.push(id.clone());
            let directory = self.state.directory.borrow();
            if let Some(record) = directory.record(&id) {
                return Some((Rc::clone(record), longest));
            }
        }
        None
    }

    /// Returns whether a request should be sent to an endpoint that may not answer.
    ///
    /// A node that is cut off refuses nothing and would attract all that busy ones refuse.
    fn is_worth_asking(
        &self,
        request: &EntryRequest,
        progress: &DispatchState,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> bool {
        let overdue = self.pool.is_overdue(self.node_of(record));
        let avoided = self.endpoints.borrow().is_avoided(&record.id, now);
        let held = self.endpoints.borrow().in_flight(&record.id);
        if held >= record.capacity * HELD_FACTOR {
            return false;
        }
        let lonely = progress.busy.is_empty();
        match (overdue, avoided) {
            (true, _) => lonely && request.rule.idempotent,
            (false, true) => lonely,
            (false, false) => true,
        }
    }

    /// Returns how long a request waits for a slot while other endpoints are left to ask.
    ///
    /// In another region only a free slot is worth the way while the own region has endpoints.
    fn probe_patience(&self, request: &EntryRequest, record: &EndpointRecord) -> ClockTime {
        let directory = self.state.directory.borrow();
        let mut ready = directory.ready(&request.service);
        if self.is_remote(record) && ready.any(|other| !self.is_remote(other)) {
            return ClockTime(0);
        }
        let factor = self.short_work_factor(&record.id, self.work(request));
        ClockTime((request.rule.objective.as_f64() * PROBE_PATIENCE * factor) as u64)
    }

    fn distance(&self, request: &EntryRequest, id: &EndpointId) -> ClockTime {
        let directory = self.state.directory.borrow();
        let record = directory.record(id);
        let distance = record.map_or(0.0, |record| self.network_prior(record).1);
        ClockTime((distance * request.rule.objective.as_f64()) as u64)
    }

    fn is_remote(&self, record: &EndpointRecord) -> bool {
        let regions = &self.settings.regions;
        regions.get(&record.zone) != regions.get(&self.settings.zone)
    }

    fn short_work_factor(&self, id: &EndpointId, work: f64) -> f64 {
        let hold = self.endpoints.borrow().hold(id).unwrap_or(work);
        (hold / work.max(1.0)).clamp(1.0, SHORT_WORK_FACTOR)
    }

    /// Returns the expected work of a request in ms.
    fn work(&self, request: &EntryRequest) -> f64 {
        let work = self.routes.borrow().work(&request.rule.name);
        work.unwrap_or_else(|| FIRST_WORK.min(request.rule.objective.as_f64() / 2.0))
    }

    /// Returns the longest wait for a slot after which the answer is still on time.
    ///
    /// Longer queues serve no more requests, they only make all of them late. A request that is
    /// late already, or whose work takes as long as its objective, may wait a part of it. Work that
    /// is shorter than the usual work of the endpoint delays others little, while its sender may
    /// lose longer work with it.
    fn longest_wait(&self, request: &EntryRequest, id: &EndpointId, now: ClockTime) -> ClockTime {
        let work = self.work(request);
        let objective = request.rule.objective.as_f64();
        let passed = (now - request.arrived).as_f64();
        let on_time = (objective - passed - work).max(objective * LATE_WAIT_PART);
        let left = (request.deadline - now).as_f64() - work * TAIL_FACTOR;
        let patience = on_time * self.short_work_factor(id, work);
        ClockTime(patience.min(left).max(0.0) as u64)
    }

    fn best(
        &self,
        request: &EntryRequest,
        excluded: &[EndpointId],
        now: ClockTime,
    ) -> Option<Rc<EndpointRecord>> {
        let directory = self.state.directory.borrow();
        let endpoints = self.endpoints.borrow();
        let work = self.work(request);
        let mut best: Option<(f64, &Rc<EndpointRecord>)> = None;
        for record in directory.ready(&request.service) {
            if excluded.contains(&record.id) {
                continue;
            }
            let (prior, distance) = self.network_prior(record);
            let distance = distance * request.rule.objective.as_f64();
            let warm = directory.warm_up(&record.id, now) > ClockTime(0);
            let work = if warm { work * WARM_UP_FACTOR } else { work };
            let cost = endpoints.cost(&record.id, now, work, prior, record.capacity);
            // Nodes that see the same costs must not all choose the same endpoint.
            let overdue = self.pool.is_overdue(self.node_of(record));
            let silence = if overdue { SILENCE_COST } else { 0.0 };
            let cost = cost * rand::random_range(0.9..1.1) + distance + silence;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, record));
            }
        }
        best.map(|(_, record)| Rc::clone(record))
    }

    /// Returns the expected network time in ms and the distance as a part of the objective.
    fn network_prior(&self, record: &EndpointRecord) -> (f64, f64) {
        if record.zone == self.settings.zone {
            (ZONE_NETWORK, 0.0)
        } else if !self.is_remote(record) {
            (REGION_NETWORK, ZONE_DISTANCE)
        } else {
            (REMOTE_NETWORK, REGION_DISTANCE)
        }
    }

    fn node_of(&self, record: &EndpointRecord) -> NodeAddress {
        let port = self.settings.peer_listen.port();
        NodeAddress(SocketAddr::new(record.address.ip(), port))
    }

    /// Returns whether a request may go to a further endpoint, spending a part of the budget.
    fn may_repeat(&self, request: &EntryRequest, progress: &DispatchState, part: f64) -> bool {
        let rule: &RouteRule = &request.rule;
        let now = self.state.clock.now();
        if !rule.idempotent || progress.reached >= rule.max_attempts || now >= request.deadline {
            return false;
        }
        self.take_repeat(request, part)
    }

    /// Takes a further arrival at an endpoint from the budget of the service.
    fn take_repeat(&self, request: &EntryRequest, part: f64) -> bool {
        let now = self.state.clock.now();
        let bounds = self.state.bounds();
        let nodes = self.state.directory.borrow().len().max(1) as f64;
        let allowance = RepeatAllowance {
            ratio: bounds.retry_ratio * part,
            slack: bounds.retry_slack * part / nodes,
            nested: self.exit.repeated_part.get(),
        };
        self.budget(&request.service, |budget| budget.take(now, allowance))
    }

    fn budget<Use, Value>(&self, service: &ServiceName, action: Use) -> Value
    where
        Use: FnOnce(&mut RepeatBudget) -> Value,
    {
        let mut budgets = self.budgets.borrow_mut();
        let window = self.state.bounds().retry_window;
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RepeatBudget::new(window));
        action(budget)
    }

    /// Refuses a request; it is welcome again when the queues that it met have been served.
    fn refuse(&self, request: &EntryRequest, progress: &DispatchState) -> Answer {
        let wait = progress.busy.iter().map(|(_, wait)| *wait).min();
        let code = progress.last_refusal.unwrap_or(ResultCode::NoEndpoint);
        let wait = match wait {
            // Another attempt may meet an endpoint that accepts it.
            _ if progress.turned_away => ClockTime(0),
            Some(wait) => wait.max(request.rule.objective),
            None => EMPTY_RETRY,
        };
        Answer::own(code, Some(wait))
    }

    fn log_outcome(&self, request: &EntryRequest, answer: &Answer, progress: &DispatchState) {
        let clock: SystemClock = self.state.clock;
        let elapsed = clock.now() - request.arrived;
        let metrics = &self.state.metrics;
        metrics.record_request(request.rule.idempotent, answer.code, elapsed);
        if answer.code == ResultCode::Ok {
            log::debug!(
                "event=served request={} status={} elapsed={elapsed}",
                request.id,
                answer.status
            );
            return;
        }
        let Self { state, .. } = self;
        let (config, directory) = (request.version, state.directory.borrow().position());
        let age = state.age().unwrap_or_default();
        log::info!(
            "event=not_served request={} route={} service={} config={config} directory={directory} view_age={age} status={} code={} asked={} elapsed={elapsed}",
            request.id,
            request.rule.name,
            request.service,
            answer.status,
            answer.code,
            progress.trail,
        );
    }
}

impl DispatchState {
    /// Lets the endpoints be asked again that had no slot.
    fn forget_refusals(&mut self) {
        self.busy.clear();
        let asked = std::mem::take(&mut self.queued);
        self.excluded.retain(|id| !asked.contains(id));
    }

    /// Adds what an endpoint said to the trail of the request.
    fn note(&mut self, id: &EndpointId, code: ResultCode, wait: ClockTime) {
        let comma = if self.trail.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(self.trail, "{comma}{id}:{code}:{wait}");
    }

    fn note_refusal(&mut self, id: &EndpointId, code: ResultCode, wait: ClockTime, reached: bool) {
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

/// Counts an attempt as in flight until it is dropped.
struct FlightGuard<'a> {
    endpoints: &'a RefCell<EndpointStats>,
    id: EndpointId,
}

impl<'a> FlightGuard<'a> {
    fn new(endpoints: &'a RefCell<EndpointStats>, id: &EndpointId) -> Self {
        endpoints.borrow_mut().begin(id);
        Self {
            endpoints,
            id: id.clone(),
        }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.endpoints.borrow_mut().end(&self.id);
    }
}

/// Cancels a call that has not started when its client leaves.
struct CancelGuard<'a>(&'a crate::sidecar::call_table::CallRecord);

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

/// Checks that the body has the length that the head states.
fn checked((reply, body): (ForwardReply, Bytes)) -> Result<ForwardAnswer> {
    if body.len() as u64 == reply.body_length {
        return Ok(ForwardAnswer { reply, body });
    }
    let message = "the body of an answer has another length";
    Err(Error::new(ResultCode::ConnectionLost, message))
}
