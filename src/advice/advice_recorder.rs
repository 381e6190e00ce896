use std::cell::RefCell;
use std::rc::Rc;

use http::StatusCode;
use http::response::Parts;

use crate::clock::ClockTime;
use crate::logging::LogRateLimiter;
use crate::rate_limit::ArrivalPacer;
use crate::sidecar::HeaderNames;
use crate::sidecar::forward_message::ForwardRequestHeader;
use crate::sidecar::node_state::NodeState;

/// Interval at which the same event is logged again.
const LOG_INTERVAL: ClockTime = ClockTime(1_000);

/// Recorder of the rate limits and departures that the local endpoint states in its responses.
pub(crate) struct AdviceRecorder {
    state: Rc<NodeState>,
    names: Rc<HeaderNames>,
    pacer: Rc<ArrivalPacer>,
    log_limiter: RefCell<LogRateLimiter>,
}

impl AdviceRecorder {
    pub(crate) fn new(
        state: Rc<NodeState>,
        names: Rc<HeaderNames>,
        pacer: Rc<ArrivalPacer>,
    ) -> Self {
        Self {
            state,
            names,
            pacer,
            log_limiter: RefCell::new(LogRateLimiter::new(LOG_INTERVAL)),
        }
    }

    /// Records the head of a response that bears the identifier of its request, which was sent at `sent_at`.
    pub(crate) fn record(&self, head: &Parts, request: &ForwardRequestHeader, sent_at: ClockTime) {
        // Another endpoint has taken over the address.
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        self.record_departure(head, request);
        self.record_limit(head, request, sent_at);
    }

    fn record_departure(&self, head: &Parts, request: &ForwardRequestHeader) {
        let value = head.headers.get(&self.names.leaving);
        if value.is_none_or(|value| value != "1") {
            return;
        }
        let now = self.state.clock.now();
        let mut leaving = self.state.leaving.borrow_mut();
        if leaving.record(now, &request.endpoint, request.endpoint_born) {
            self.state.metrics.record_endpoint_event("leaving");
            log::info!("event=endpoint_leaving endpoint={}", request.endpoint);
        }
    }

    fn record_limit(&self, head: &Parts, request: &ForwardRequestHeader, sent_at: ClockTime) {
        let names = &self.names;
        let headers = &head.headers;
        let is_proven =
            headers.contains_key(&names.endpoint_proof) || headers.contains_key(&names.not_run);
        let change = self
            .pacer
            .record_response(sent_at, headers, &names.rate_limit, is_proven);
        let endpoint = &request.endpoint;
        match change {
            Ok(None) => {}
            Ok(Some(change)) => {
                let event = match change.current {
                    Some(_) => "endpoint_limited",
                    None => "endpoint_unlimited",
                };
                if let Some(suppressed) = self.admit_log(event) {
                    log::info!(
                        "event={event} endpoint={endpoint} request={} {change} suppressed={suppressed}",
                        request.request_id
                    );
                }
            }
            Err(error) => {
                self.state.metrics.record_invalid_limit();
                if let Some(suppressed) = self.admit_log("invalid_limit") {
                    log::warn!(
                        "event=invalid_limit endpoint={endpoint} cause=\"{}\" suppressed={suppressed}",
                        error.message()
                    );
                }
            }
        }
    }

    fn admit_log(&self, event: &str) -> Option<u64> {
        let now = self.state.clock.now();
        self.log_limiter.borrow_mut().admit(event, now)
    }
}
