use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::{Value, json};

use crate::backend::{BackendFault, BackendFaultMode, BackendSettings, BackendState};
use crate::wire::{HandlerReply, HttpHandler, HttpProbe, HttpRequest, HttpResponse};

/// Longest wait for a nested call without a deadline, in ms.
const NEST_LIMIT_MS: u64 = 30_000;

/// Serves any path with work of the configured time, and keeps count of what ran.
#[derive(Debug)]
pub struct BackendServer {
    settings: BackendSettings,
    state: Mutex<BackendState>,
    changed: Condvar,
}

impl BackendServer {
    /// Makes a backend server that starts now.
    #[must_use]
    pub fn new(settings: BackendSettings) -> BackendServer {
        let state = Mutex::new(BackendState::new(settings.seed));
        BackendServer {
            settings,
            state,
            changed: Condvar::new(),
        }
    }

    /// Sets a fault.
    pub fn set_fault(&self, fault: BackendFault) {
        self.lock().fault = Some((fault, Instant::now()));
    }

    /// Returns how often each idempotency key ran.
    #[must_use]
    pub fn runs(&self) -> Value {
        json!(self.lock().runs)
    }

    /// Returns the counters.
    #[must_use]
    pub fn report(&self, connections_peak: u64) -> Value {
        self.lock().report(connections_peak)
    }

    fn health(&self) -> HttpResponse {
        let state = self.lock();
        let starting = state.start.elapsed() < Duration::from_millis(self.settings.starting_ms);
        let word = match () {
            () if state.has_mode(BackendFaultMode::Drain) => "draining",
            () if starting => "starting",
            () => "ready",
        };
        HttpResponse::new(200, word)
    }

    fn load(&self) -> HttpResponse {
        let running = self.lock().late_load(self.load_lag());
        HttpResponse::json(&json!({ "running": running, "slots": self.settings.slots }))
    }

    fn cancel(&self, id: &str) -> HttpResponse {
        let found = self.lock().cancel(id);
        self.changed.notify_all();
        HttpResponse::json(&json!({ "cancelled": found }))
    }

    fn work(&self, request: &HttpRequest) -> HandlerReply {
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
        let drained = state
            .fault()
            .filter(|(fault, _)| fault.mode == BackendFaultMode::Drain);
        if let Some(age) = drained.map(|(_, age)| age) {
            state.after_drain += 1;
            state.last_after_drain_ms = age.as_millis() as u64;
        }
        if state.running >= self.settings.slots {
            state.violations += 1;
            return answer(503, "no free slot");
        }
        if id.as_ref().is_some_and(|id| state.take_early(id)) {
            state.cancelled += 1;
            return answer(499, "cancelled");
        }
        if let Some(key) = key {
            *state.runs.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(id) = &id {
            state.active.insert(id.clone(), false);
        }
        let running = state.running + 1;
        state.set_running(running, self.load_lag());
        let time = self.service_time(&mut state, &request.path);
        drop(state);

        let nested = self.nested(request, end);
        let (mut state, ending) = self.run(id.as_deref(), time, end);
        let running = state.running - 1;
        state.set_running(running, self.load_lag());
        if let Some(id) = &id {
            state.active.remove(id);
        }
        match ending {
            Ending::Cancelled => {
                state.cancelled += 1;
                answer(499, "cancelled")
            }
            Ending::Expired => {
                state.expired += 1;
                answer(504, "deadline passed")
            }
            Ending::Done => {
                state.completed += 1;
                let whole = self.answer(request, nested);
                match state.fault() {
                    Some((fault, _)) if fault.mode == BackendFaultMode::Cut => {
                        HandlerReply::RespondTruncated(whole, fault.after_bytes)
                    }
                    Some((fault, _)) if fault.mode == BackendFaultMode::Silent => {
                        HandlerReply::NoResponse
                    }
                    _ => HandlerReply::Respond(whole),
                }
            }
        }
    }

    /// Waits for the service time, the deadline or a cancellation.
    fn run(
        &self,
        id: Option<&str>,
        time: Duration,
        end: Option<Instant>,
    ) -> (MutexGuard<'_, BackendState>, Ending) {
        let done = Instant::now() + time;
        let stop = end.map_or(done, |end| end.min(done));
        let mut state = self.lock();
        loop {
            if id.is_some_and(|id| state.active.get(id) == Some(&true)) {
                return (state, Ending::Cancelled);
            }
            let now = Instant::now();
            if now >= stop {
                let ending = if stop < done {
                    Ending::Expired
                } else {
                    Ending::Done
                };
                return (state, ending);
            }
            let woken = self.changed.wait_timeout(state, stop - now);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn service_time(&self, state: &mut BackendState, path: &str) -> Duration {
        let spread = self.settings.spread;
        let mut time_ms = self.settings.time_ms(path);
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

    /// Makes the nested call, if one is set; its failure is part of the answer.
    fn nested(&self, request: &HttpRequest, end: Option<Instant>) -> Option<Value> {
        let rule = self.settings.nest(&request.path)?;
        let mut headers = Vec::new();
        let mut limit = NEST_LIMIT_MS;
        if let Some(end) = end {
            let rest = end.saturating_duration_since(Instant::now()).as_millis() as u64;
            limit = rest.max(1);
            headers.push(("x-deadline-ms", limit.to_string()));
        }
        for name in ["x-call-depth", "x-request-tag"] {
            if let Some(value) = request.head.header(name) {
                headers.push((name, value.to_owned()));
            }
        }
        let probe = HttpProbe::with_timeout(rule.address, limit);
        Some(match probe.call("GET", &rule.path, &headers, &[]) {
            Ok(answer) => json!({ "status": answer.status, "body": answer.value() }),
            Err(error) => json!({ "error": error.to_string() }),
        })
    }

    fn answer(&self, request: &HttpRequest, nested: Option<Value>) -> HttpResponse {
        let mut body = json!({
            "instance": self.settings.name,
            "method": request.method,
            "path": request.path,
            "tag": request.head.header("x-request-tag"),
            "received_bytes": request.body.len(),
            "padding": "x".repeat(self.settings.answer_bytes),
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

enum Ending {
    Done,
    Expired,
    Cancelled,
}

fn answer(status: u16, text: &str) -> HandlerReply {
    HandlerReply::Respond(HttpResponse::new(status, text))
}

impl HttpHandler for BackendServer {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        if self.lock().has_mode(BackendFaultMode::Silent) {
            return HandlerReply::NoResponse;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => HandlerReply::Respond(self.health()),
            ("GET", "/load") => HandlerReply::Respond(self.load()),
            ("POST", path) if path.starts_with("/cancel/") => {
                HandlerReply::Respond(self.cancel(&path["/cancel/".len()..]))
            }
            _ => self.work(request),
        }
    }
}
