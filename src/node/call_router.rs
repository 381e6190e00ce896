use std::cell::RefCell;
use std::rc::Rc;

use futures_util::future::{FutureExt, LocalBoxFuture};
use rand::rngs::StdRng;

use crate::burn::BurnRateTracker;
use crate::call::{CallHandler, CallRequest, CallResponse};
use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::{NodeAddress, NodeIncarnation, ServiceName};
use crate::metrics::NodeMetrics;
use crate::node::{CallSender, EndpointSelector, ResolvedCall, SharedState};
use crate::once::PlacedKey;
use crate::retry::{HedgePolicy, RetryBudget};

/// Path prefix under which placed keys are issued; the service name follows.
const KEY_PATH: &str = "/.endive/keys/";

/// Router of calls from callers and from the local backend server to endpoints.
pub(crate) struct CallRouter {
    pub(crate) clock: SystemClock,
    pub(crate) address: NodeAddress,
    pub(crate) incarnation: NodeIncarnation,
    pub(crate) depth_limit: u8,
    pub(crate) plain_policy: bool,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) selector: Rc<EndpointSelector>,
    pub(crate) sender: CallSender,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) hedges: RefCell<HedgePolicy>,
    pub(crate) burn_rates: Rc<RefCell<BurnRateTracker>>,
    pub(crate) metrics: Rc<NodeMetrics>,
    pub(crate) rng: RefCell<StdRng>,
}

impl CallHandler for CallRouter {
    fn handle(&self, request: CallRequest) -> LocalBoxFuture<'_, CallResponse> {
        async move {
            if let Some(service) = request.path.strip_prefix(KEY_PATH)
                && request.method == "POST"
            {
                return self
                    .issue_key(service)
                    .unwrap_or_else(|error| CallResponse::from_error(&error));
            }
            let started_ms = self.clock.elapsed_ms();
            let call = match self.resolve(request) {
                Ok(call) => call,
                Err(error) => return CallResponse::from_error(&error),
            };
            let response = if call.kind.idempotent {
                self.run_idempotent(&call).await
            } else {
                self.run_at_most_once(&call).await
            };
            self.record(&call, &response, self.clock.elapsed_ms() - started_ms);
            response
        }
        .boxed_local()
    }
}

impl CallRouter {
    fn resolve(&self, request: CallRequest) -> Result<ResolvedCall> {
        let now = self.shared.observe();
        // A nested call belongs to work in progress, which must be able to complete while the node
        // is leaving.
        let manifest = if request.depth == 0 {
            self.shared.manifest_for_new_call()?
        } else {
            self.shared.verified_manifest()?
        };
        if request.depth >= self.depth_limit {
            let message = format!("the call is more than {} deep", self.depth_limit);
            return Err(Error::new(ResultCode::CallTooDeep, message));
        }
        let found = manifest
            .lookup(&request.method, &request.path)
            .ok_or_else(|| {
                let message = format!("no route matches {} {}", request.method, request.path);
                Error::new(ResultCode::NoRoute, message)
            })?;
        let limit = found.kind.deadline;
        let remaining = request.remaining.unwrap_or(limit).min(limit);
        Ok(ResolvedCall {
            service: found.service.name.clone(),
            kind: found.kind.clone(),
            stamp: manifest.stamp(),
            arrived: now,
            deadline: now + remaining,
            request,
        })
    }

    /// Issues a placed key for an endpoint of the service.
    fn issue_key(&self, service: &str) -> Result<CallResponse> {
        let manifest = self.shared.manifest_for_new_call()?;
        let service: ServiceName = service
            .parse()
            .map_err(|error: Error| Error::new(ResultCode::MalformedRequest, error.message()))?;
        if manifest.service(&service).is_none() {
            let message = format!("no service {service}");
            return Err(Error::new(ResultCode::NoRoute, message));
        }
        let address = self.selector.choose(&service, &[]).ok_or_else(|| {
            let message = format!("service {service} has no live endpoint");
            Error::new(ResultCode::NoEndpoint, message)
        })?;
        let incarnation = self.incarnation_of(address).ok_or_else(|| {
            let message = format!("endpoint {address} has not sent a message yet");
            Error::new(ResultCode::NoEndpoint, message)
        })?;
        let wall_ms = self.clock.unix_time_ms();
        let key = PlacedKey::issue(address, incarnation, wall_ms, &mut *self.rng.borrow_mut());
        Ok(CallResponse {
            code: ResultCode::Ok,
            status: 200,
            headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
            body: key.to_key()?.to_string().into(),
            retry_after: None,
        })
    }

    /// Returns the incarnation of a node, or `None` if it is not known yet.
    fn incarnation_of(&self, address: NodeAddress) -> Option<NodeIncarnation> {
        if address == self.address {
            return Some(self.incarnation);
        }
        let members = self.shared.members();
        let incarnation = members.member(&address)?.entry.incarnation;
        (incarnation.0 > 0).then_some(incarnation)
    }

    fn record(&self, call: &ResolvedCall, response: &CallResponse, duration_ms: f64) {
        let kind = call.kind_name();
        self.metrics
            .record_call(&call.service, kind, response.code, duration_ms);
        let good = response.code == ResultCode::Ok && response.status < 500;
        let bad = (!good).then_some(response.code);
        self.burn_rates.borrow_mut().record(
            self.clock.now(),
            &call.service,
            kind,
            call.kind.objective,
            bad,
        );
    }

    /// Returns the time left until the deadline of a call.
    pub(crate) fn remaining(&self, call: &ResolvedCall) -> ClockTime {
        call.deadline - self.shared.observe()
    }

    /// Returns the response to a call whose service has no live endpoint left to try.
    pub(crate) fn no_endpoint(call: &ResolvedCall) -> CallResponse {
        CallResponse::from_error(&Error::new(
            ResultCode::NoEndpoint,
            format!("service {} has no live endpoint", call.service),
        ))
    }
}
