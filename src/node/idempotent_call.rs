use std::pin::pin;

use futures_util::future::{self, Either};
use monoio::time;
use smallvec::SmallVec;

use crate::call::CallResponse;
use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::node::{CallRouter, ResolvedCall, TimedResponse};
use crate::retry::{FailedCall, HedgeCall, ResendPolicy};

/// Endpoints that a call has already been sent to.
type TriedEndpoints = SmallVec<[NodeAddress; 4]>;

impl CallRouter {
    /// Runs an idempotent call, which is retried after failures and hedged when it is slow.
    pub(crate) async fn run_idempotent(&self, call: &ResolvedCall) -> CallResponse {
        let now = self.clock.now();
        self.budget.borrow_mut().record_call(now);
        self.hedges.borrow_mut().record_call(now);
        let mut tried = TriedEndpoints::new();
        let mut attempt = call.request.attempt;
        let mut last = None;
        loop {
            let Some(to) = self.selector.choose(&call.service, &tried) else {
                return last.unwrap_or_else(|| Self::no_endpoint(call));
            };
            tried.push(to);
            let response = self.send_hedged(call, to, attempt, &mut tried).await;
            if response.code == ResultCode::Ok || !self.may_resend(call, response.code, attempt) {
                return response;
            }
            self.metrics.record_resend("retry");
            attempt = attempt.saturating_add(1);
            last = Some(response);
        }
    }

    /// Returns whether the resend rule and the retry budget allow another attempt.
    pub(crate) fn may_resend(&self, call: &ResolvedCall, code: ResultCode, attempt: u8) -> bool {
        let failed = FailedCall {
            code,
            idempotent: call.kind.idempotent,
            attempt,
            depth: call.request.depth,
            remaining: self.remaining(call),
        };
        ResendPolicy::allows(failed) && self.budget.borrow_mut().try_take(self.clock.now())
    }

    async fn send_hedged(
        &self,
        call: &ResolvedCall,
        to: NodeAddress,
        attempt: u8,
        tried: &mut TriedEndpoints,
    ) -> CallResponse {
        let first = pin!(self.sender.send(call, to, attempt, None));
        let Some(delay) = self.hedge_delay(call, attempt) else {
            return self.record_success_latency(call, first.await);
        };
        let first = match future::select(first, pin!(time::sleep(delay))).await {
            Either::Left((timed, _)) => return self.record_success_latency(call, timed),
            Either::Right(((), first)) => first,
        };
        let Some(other) = self.hedge_endpoint(call, tried) else {
            return self.record_success_latency(call, first.await);
        };
        tried.push(other);
        self.metrics.record_resend("hedge");
        let second = pin!(
            self.sender
                .send(call, other, attempt.saturating_add(1), None)
        );
        // Dropping the losing attempt cancels it and frees its slot.
        match future::select(first, second).await {
            Either::Left((timed, second)) => self.first_success(call, timed, second).await,
            Either::Right((timed, first)) => self.first_success(call, timed, first).await,
        }
    }

    async fn first_success<Other>(
        &self,
        call: &ResolvedCall,
        timed: TimedResponse,
        other: Other,
    ) -> CallResponse
    where
        Other: Future<Output = TimedResponse>,
    {
        if timed.response.code == ResultCode::Ok {
            return self.record_success_latency(call, timed);
        }
        self.record_success_latency(call, other.await)
    }

    fn hedge_delay(&self, call: &ResolvedCall, attempt: u8) -> Option<std::time::Duration> {
        if self.plain_policy {
            return None;
        }
        let hedge = HedgeCall {
            kind: call.kind_name(),
            idempotent: call.kind.idempotent,
            attempt,
            depth: call.request.depth,
        };
        let delay = self.hedges.borrow().delay(hedge)?;
        (delay < self.remaining(call)).then(|| delay.to_duration())
    }

    fn hedge_endpoint(&self, call: &ResolvedCall, tried: &TriedEndpoints) -> Option<NodeAddress> {
        let other = self.selector.choose(&call.service, tried)?;
        let now = self.clock.now();
        let mut budget = self.budget.borrow_mut();
        self.hedges
            .borrow_mut()
            .try_take(now, &mut budget)
            .then_some(other)
    }

    fn record_success_latency(&self, call: &ResolvedCall, timed: TimedResponse) -> CallResponse {
        if timed.response.code == ResultCode::Ok {
            self.hedges
                .borrow_mut()
                .record_latency(call.kind_name(), timed.latency_ms);
        }
        timed.response
    }
}
