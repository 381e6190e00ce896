use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::mesh::EndpointRecord;
use crate::quarantine::Fingerprint;
use crate::retry::AttemptCause;
use crate::sidecar::attempt_outcome::AttemptOutcome;
use crate::sidecar::attempt_sender::AttemptSender;
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::dispatch_state::DispatchState;
use crate::sidecar::load_balancer::LoadBalancer;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::retry_budgets::RetryBudgets;
use crate::sidecar::{LateRequest, TargetPicker};

/// Fraction of the retry budget available to hedges. The rest is reserved for retries after
/// failures.
const HEDGE_BUDGET_SHARE: f64 = 0.5;
/// `Retry-After` sent when the service has no known endpoint; one may appear within this time.
const NO_ENDPOINT_RETRY_AFTER: ClockTime = ClockTime(300);

/// Dispatcher of client requests to endpoints, with retries and hedging.
pub(crate) struct Dispatcher {
    pub(crate) state: Rc<NodeState>,
    pub(crate) balancer: Rc<LoadBalancer>,
    pub(crate) attempts: AttemptSender,
    pub(crate) retries: RetryBudgets,
    pub(crate) picker: RefCell<TargetPicker>,
    /// Triggered when a stopping node gives up the requests that are still running.
    pub(crate) abort: StopSignal,
}

impl Dispatcher {
    /// Runs a request and returns the final response. Dropping the future cancels the request.
    pub(crate) async fn dispatch(&self, request: &OutboundRequest) -> ClientResponse {
        let clock = self.state.clock;
        let now = clock.now();
        self.retries.record_request(&request.service, now);
        let left = request.deadline - now;
        let mut progress = DispatchState::default();
        let running = time::timeout(left.to_duration(), self.run(request, &mut progress));
        let result = match future::select(pin!(running), pin!(self.abort.wait())).await {
            Either::Left((Ok(response), _)) => Ok(response),
            Either::Left((Err(_), _)) => Err(ResultCode::DeadlinePassed),
            Either::Right(_) => Err(ResultCode::NodeLeaving),
        };
        let response = result.unwrap_or_else(|code| progress.abandoned(code));
        self.record_outcome(request, &response, &progress);
        response
    }

    /// Returns whether a request that starts now can be answered before a stopping node ends.
    fn ends_before_stop(&self, request: &OutboundRequest, now: ClockTime) -> bool {
        let Some(schedule) = self.state.stop_schedule() else {
            return true;
        };
        let late_request = LateRequest {
            deadline: request.client_deadline,
            expected: self.balancer.tail_processing(request),
            is_idempotent: request.rule.idempotent,
        };
        schedule.admits(now, &late_request)
    }

    async fn run(&self, request: &OutboundRequest, progress: &mut DispatchState) -> ClientResponse {
        loop {
            let now = self.state.clock.now();
            if progress.is_unsent() && !self.ends_before_stop(request, now) {
                return progress.abandoned(ResultCode::NodeLeaving);
            }
            if self.is_quarantined(request, progress) {
                return self.quarantine_response(request, progress);
            }
            if now >= request.deadline {
                progress.last_refusal = Some(ResultCode::DeadlineTooShort);
                return self.refusal(request, progress);
            }
            let Some((record, max_queue_wait)) = self.balancer.select(request, progress, now)
            else {
                return self.refusal(request, progress);
            };
            let result = if request.rule.idempotent {
                self.attempt_hedged(request, progress, &record, max_queue_wait)
                    .await
            } else {
                progress.attempts += 1;
                let cause = progress.cause;
                self.attempts
                    .attempt(request, &record, max_queue_wait, cause)
                    .await
            };
            match result {
                AttemptOutcome::Response(response) => return response,
                AttemptOutcome::NotRun {
                    code,
                    wait,
                    reached_endpoint,
                } => {
                    progress.attempts = progress.attempts.saturating_sub(1);
                    progress.record_refusal(&record.id, code, wait, reached_endpoint);
                    if reached_endpoint && progress.cause == AttemptCause::First {
                        progress.cause = AttemptCause::Repeat;
                    }
                    progress.refused_by_endpoint = reached_endpoint;
                    if code == ResultCode::RequestQuarantined {
                        return self.quarantine_response(request, progress);
                    }
                    if code == ResultCode::MalformedRequest {
                        return self.refusal(request, progress);
                    }
                    if reached_endpoint && !self.retries.try_take(&request.service, 1.0) {
                        return self.refusal(request, progress);
                    }
                    if reached_endpoint {
                        self.state.metrics.record_resend("refused");
                    }
                }
                AttemptOutcome::Failed(response) => {
                    progress.excluded.push(record.id.clone());
                    progress.log_attempt(&record.id, response.code, ClockTime(0));
                    progress.cause = match response.code {
                        ResultCode::ConnectionLost => AttemptCause::Loss,
                        _ => progress.cause.max(AttemptCause::Repeat),
                    };
                    if !self.take_retry(request, progress, 1.0) {
                        return response;
                    }
                    progress.clear_refusals();
                    self.state.metrics.record_resend("failed");
                    log::info!(
                        "event=repeat request={} endpoint={} code={}",
                        request.id,
                        record.id,
                        response.code
                    );
                    progress.failure = Some(response);
                }
            }
        }
    }

    /// Sends an idempotent request, and hedges it to a second endpoint if the first is slow.
    ///
    /// Returns the first successful response.
    async fn attempt_hedged(
        &self,
        request: &OutboundRequest,
        progress: &mut DispatchState,
        record: &Rc<EndpointRecord>,
        max_queue_wait: ClockTime,
    ) -> AttemptOutcome {
        progress.attempts += 1;
        let delay = self.balancer.slow_threshold(request);
        let first = pin!(
            self.attempts
                .attempt(request, record, max_queue_wait, progress.cause)
        );
        let timer = pin!(time::sleep(delay.to_duration()));
        let first = match future::select(first, timer).await {
            Either::Left((result, _)) => return result,
            Either::Right((_, first)) => first,
        };
        if self.is_quarantined(request, progress) {
            return first.await;
        }
        progress.excluded.push(record.id.clone());
        let now = self.state.clock.now();
        let second = self
            .balancer
            .lowest_cost_endpoint(request, &progress.excluded, now);
        let second =
            second.filter(|second| self.balancer.is_eligible(request, progress, second, now));
        let Some(second) =
            second.filter(|_| self.take_retry(request, progress, HEDGE_BUDGET_SHARE))
        else {
            return first.await;
        };
        self.state.metrics.record_resend("slow");
        log::info!(
            "event=hedge request={} endpoint={} second={} delay={delay}",
            request.id,
            record.id,
            second.id
        );
        progress.excluded.push(second.id.clone());
        progress.attempts += 1;
        let other = pin!(self.attempts.attempt(
            request,
            &second,
            ClockTime(0),
            progress.cause.max(AttemptCause::Repeat)
        ));
        match future::select(first, other).await {
            Either::Left((result @ AttemptOutcome::Response(_), _)) => result,
            Either::Right((result @ AttemptOutcome::Response(_), _)) => result,
            Either::Left((result, other)) => result.merge(other.await),
            Either::Right((result, first)) => result.merge(first.await),
        }
    }

    /// Returns whether a request has crashed endpoints and is kept from the others.
    fn is_quarantined(&self, request: &OutboundRequest, progress: &mut DispatchState) -> bool {
        let quarantine = &self.state.quarantine;
        !quarantine.is_empty() && quarantine.contains(&self.fingerprint(request, progress))
    }

    fn fingerprint(&self, request: &OutboundRequest, progress: &mut DispatchState) -> Fingerprint {
        let caller = &self.attempts.settings.service;
        *progress.fingerprint.get_or_insert_with(|| {
            Fingerprint::of(&request.method, &request.target, caller, &request.body)
        })
    }

    /// Returns the response to a request that is kept from endpoints. A further attempt would be refused as
    /// well, so there is no `Retry-After`.
    fn quarantine_response(
        &self,
        request: &OutboundRequest,
        progress: &mut DispatchState,
    ) -> ClientResponse {
        log::info!(
            "event=request_quarantined request={} fingerprint={}",
            request.id,
            self.fingerprint(request, progress)
        );
        let failure = progress.failure.take();
        failure.unwrap_or_else(|| ClientResponse::local(ResultCode::RequestQuarantined, None))
    }

    /// Takes a retry from the budget; returns false if the request must not be retried.
    ///
    /// Each retry or hedge uses `share` of the budget's limits.
    fn take_retry(&self, request: &OutboundRequest, progress: &DispatchState, share: f64) -> bool {
        let rule = &request.rule;
        let now = self.state.clock.now();
        if !rule.idempotent || progress.attempts >= rule.max_attempts || now >= request.deadline {
            return false;
        }
        self.retries.try_take(&request.service, share)
    }

    /// Returns the response to a request that no endpoint served, with a `Retry-After` that covers
    /// the shortest queue it was refused by.
    ///
    /// If an earlier attempt may have run the request, its failure is returned instead: a refusal
    /// would tell the client that the request has not run.
    fn refusal(&self, request: &OutboundRequest, progress: &mut DispatchState) -> ClientResponse {
        if let Some(failure) = progress.failure.take() {
            return failure;
        }
        if progress.last_refusal == Some(ResultCode::MalformedRequest) {
            return ClientResponse::local(ResultCode::MalformedRequest, None);
        }
        let wait = progress.overloaded.iter().map(|(_, wait)| *wait).min();
        let code = progress
            .last_refusal
            .unwrap_or_else(|| self.balancer.missing_cause(request));
        let wait = match wait {
            // The endpoint itself refused the request, so a retry may reach one that accepts it.
            _ if progress.refused_by_endpoint => ClockTime(0),
            Some(wait) => wait.max(request.rule.objective),
            None => NO_ENDPOINT_RETRY_AFTER,
        };
        ClientResponse::refused(code, wait)
    }

    fn record_outcome(
        &self,
        request: &OutboundRequest,
        response: &ClientResponse,
        progress: &DispatchState,
    ) {
        let elapsed = self.state.clock.now() - request.arrived;
        let metrics = &self.state.metrics;
        metrics.record_request(request.rule.idempotent, response.code, elapsed);
        if response.code == ResultCode::Ok {
            log::debug!(
                "event=served request={} status={} elapsed={elapsed}",
                request.id,
                response.status
            );
            return;
        }
        let config = request.version;
        let directory = self.state.directory.borrow().position();
        let age = self.state.age().unwrap_or_default();
        log::info!(
            "event=not_served request={} route={} service={} config={config} directory={directory} view_age={age} status={} code={} asked={} elapsed={elapsed}",
            request.id,
            request.rule.name,
            request.service,
            response.status,
            response.code,
            progress.attempt_log,
        );
    }
}
