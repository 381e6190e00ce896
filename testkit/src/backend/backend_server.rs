use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::{Value, json};

use crate::backend::{BackendFault, BackendFaultMode, BackendSettings, BackendState};
use crate::wire::{HandlerReply, HttpHandler, HttpProbe, HttpRequest, HttpResponse};

/// Timeout of a nested call if the request has no deadline, in ms.
const NESTED_CALL_TIMEOUT_MS: u64 = 30_000;

/// Emulated backend server that serves any path after a configured service time and counts
/// executions.
#[derive(Debug)]
pub struct BackendServer {
    settings: BackendSettings,
    state: Mutex<BackendState>,
    changed: Condvar,
}

impl BackendServer {
    /// Creates a backend server; its cold and starting phases begin now.
    #[must_use]
    pub fn new(settings: BackendSettings) -> BackendServer {
        let state = Mutex::new(BackendState::new(settings.seed));
        BackendServer {
            settings,
            state,
            changed: Condvar::new(),
        }
    }

    /// Replaces the active fault.
    pub fn set_fault(&self, fault: BackendFault) {
        self.lock().fault = Some((fault, Instant::now()));
    }

    /// Returns the number of executions of each idempotency key as JSON.
    #[must_use]
    pub fn runs(&self) -> Value {
        json!(self.lock().runs_by_key)
    }

    /// Returns the counters as JSON.
    #[must_use]
    pub fn report(&self, connections_peak: u64) -> Value {
        self.lock().report(connections_peak)
    }

    fn health(&self) -> HttpResponse {
        let state = self.lock();
        let starting = state.start.elapsed() < Duration::from_millis(self.settings.starting_ms);
        let status = match () {
            () if state.has_fault_mode(BackendFaultMode::Drain) => "draining",
            () if starting => "starting",
            () => "ready",
        };
        HttpResponse::new(200, status)
    }

    fn load(&self) -> HttpResponse {
        let running = self.lock().lagged_load(self.load_lag());
        HttpResponse::json(&json!({ "running": running, "slots": self.settings.slots }))
    }

    fn cancel(&self, id: &str) -> HttpResponse {
        let cancelled = self.lock().cancel(id);
        self.changed.notify_all();
        HttpResponse::json(&json!({ "cancelled": cancelled }))
    }

    fn execute(&self, request: &HttpRequest) -> HandlerReply {
        let deadline = request.head.number("x-deadline-ms");
        let end = deadline.map(|time| Instant::now() + Duration::from_millis(time));
        let key = request.head.header("idempotency-key");
        let id = request
            .head
            .header("x-request-id")
            .or(key)
            .map(str::to_owned);
        let mut state = self.lock();
        state.requests += 1;
        let drain = state
            .fault()
            .filter(|(fault, _)| fault.mode == BackendFaultMode::Drain);
        if let Some(age) = drain.map(|(_, age)| age) {
            state.requests_after_drain += 1;
            state.last_after_drain_ms = age.as_millis() as u64;
        }
        if state.running >= self.settings.slots {
            state.slot_violations += 1;
            return text_response(503, "no free slot");
        }
        if id
            .as_ref()
            .is_some_and(|id| state.take_early_cancellation(id))
        {
            state.cancelled += 1;
            return text_response(499, "cancelled");
        }
        if let Some(key) = key {
            *state.runs_by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(id) = &id {
            state.active_requests.insert(id.clone(), false);
        }
        let running = state.running + 1;
        state.set_running(running, self.load_lag());
        let time = self.service_time(&mut state, &request.path);
        drop(state);

        let nested = self.make_nested_call(request, end);
        let (mut state, outcome) = self.wait_for_service(id.as_deref(), time, end);
        let running = state.running - 1;
        state.set_running(running, self.load_lag());
        if let Some(id) = &id {
            state.active_requests.remove(id);
        }
        match outcome {
            ServiceOutcome::Cancelled => {
                state.cancelled += 1;
                text_response(499, "cancelled")
            }
            ServiceOutcome::Expired => {
                state.expired += 1;
                text_response(504, "deadline passed")
            }
            ServiceOutcome::Completed => {
                state.completed += 1;
                let response = self.build_response(request, nested);
                match state.fault() {
                    Some((fault, _)) if fault.mode == BackendFaultMode::Cut => {
                        HandlerReply::RespondTruncated(response, fault.after_bytes)
                    }
                    Some((fault, _)) if fault.mode == BackendFaultMode::Silent => {
                        HandlerReply::NoResponse
                    }
                    _ => HandlerReply::Respond(response),
                }
            }
        }
    }

    /// Waits until the service time has passed, the deadline expires or the request is cancelled.
    fn wait_for_service(
        &self,
        id: Option<&str>,
        time: Duration,
        end: Option<Instant>,
    ) -> (MutexGuard<'_, BackendState>, ServiceOutcome) {
        let done = Instant::now() + time;
        let stop = end.map_or(done, |end| end.min(done));
        let mut state = self.lock();
        loop {
            if id.is_some_and(|id| state.active_requests.get(id) == Some(&true)) {
                return (state, ServiceOutcome::Cancelled);
            }
            let now = Instant::now();
            if now >= stop {
                let outcome = if stop < done {
                    ServiceOutcome::Expired
                } else {
                    ServiceOutcome::Completed
                };
                return (state, outcome);
            }
            let result = self.changed.wait_timeout(state, stop - now);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn service_time(&self, state: &mut BackendState, path: &str) -> Duration {
        let spread = self.settings.spread;
        let mut time_ms = self.settings.mean_service_time_ms(path);
        time_ms *= 1.0 + state.random.random_range(-spread..=spread);
        if state.start.elapsed() < Duration::from_millis(self.settings.cold_ms) {
            time_ms *= self.settings.cold_factor;
        }
        if let Some((fault, _)) = state.fault()
            && fault.mode == BackendFaultMode::Slow
        {
            time_ms *= fault.factor;
        }
        Duration::from_secs_f64(time_ms.clamp(0.0, 3_600_000.0) / 1_000.0)
    }

    /// Makes the nested call, if one is configured; a failure is reported in the response body.
    fn make_nested_call(&self, request: &HttpRequest, end: Option<Instant>) -> Option<Value> {
        let rule = self.settings.nested_call(&request.path)?;
        let mut headers = Vec::new();
        let mut timeout_ms = NESTED_CALL_TIMEOUT_MS;
        if let Some(end) = end {
            let rest = end.saturating_duration_since(Instant::now()).as_millis() as u64;
            timeout_ms = rest.max(1);
            headers.push(("x-deadline-ms", timeout_ms.to_string()));
        }
        for name in ["x-call-depth", "x-request-tag"] {
            if let Some(value) = request.head.header(name) {
                headers.push((name, value.to_owned()));
            }
        }
        let probe = HttpProbe::with_timeout(rule.address, timeout_ms);
        Some(match probe.call("GET", &rule.path, &headers, &[]) {
            Ok(response) => json!({ "status": response.status, "body": response.body_json() }),
            Err(error) => json!({ "error": error.to_string() }),
        })
    }

    fn build_response(&self, request: &HttpRequest, nested: Option<Value>) -> HttpResponse {
        let mut body = json!({
            "instance": self.settings.name,
            "method": request.method,
            "path": request.path,
            "tag": request.head.header("x-request-tag"),
            "received_bytes": request.body.len(),
            "padding": "x".repeat(self.settings.padding_bytes),
        });
        if let Some(nested) = nested {
            body["nested"] = nested;
        }
        HttpResponse::json(&body)
    }

    fn load_lag(&self) -> Duration {
        Duration::from_millis(self.settings.load_lag_ms)
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum ServiceOutcome {
    Completed,
    Expired,
    Cancelled,
}

fn text_response(status: u16, text: &str) -> HandlerReply {
    HandlerReply::Respond(HttpResponse::new(status, text))
}

impl HttpHandler for BackendServer {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        if self.lock().has_fault_mode(BackendFaultMode::Silent) {
            return HandlerReply::NoResponse;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => HandlerReply::Respond(self.health()),
            ("GET", "/load") => HandlerReply::Respond(self.load()),
            ("POST", path) if path.starts_with("/cancel/") => {
                HandlerReply::Respond(self.cancel(&path["/cancel/".len()..]))
            }
            _ => self.execute(request),
        }
    }
}
