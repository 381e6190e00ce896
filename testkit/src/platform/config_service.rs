use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::platform::{CallCounts, FaultTarget, PlatformFault, PlatformFaultMode, ValueHistory};
use crate::wire::{HandlerReply, HttpHandler, HttpRequest, HttpResponse};

/// Largest value that can be published, in bytes.
const VALUE_LIMIT: usize = 1_000_000;

/// Longest time after which a waiting watch looks at the clock again; ends of faults and of the
/// instance lag are seen at most this late.
const WATCH_STEP: Duration = Duration::from_millis(50);

/// Serves the manifest and the instance list, with faults on demand.
#[derive(Debug, Default)]
pub struct ConfigService {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    manifest: Part,
    instances: Part,
    counts: CallCounts,
}

#[derive(Debug, Default)]
struct Part {
    history: ValueHistory,
    lag: Duration,
    fault: Option<Fault>,
}

#[derive(Debug, Clone, Copy)]
struct Fault {
    mode: PlatformFaultMode,
    end: Option<Instant>,
    delay: Duration,
    revision: u64,
}

impl Part {
    fn fault(&self, now: Instant) -> Option<Fault> {
        self.fault
            .filter(|fault| fault.end.is_none_or(|end| now < end))
    }

    fn mode(&self, now: Instant) -> PlatformFaultMode {
        self.fault(now)
            .map_or(PlatformFaultMode::None, |fault| fault.mode)
    }

    fn revision(&self, now: Instant) -> u64 {
        match self.fault(now) {
            Some(fault) if fault.mode == PlatformFaultMode::Stale => fault.revision,
            _ => self.history.revision(now, self.lag),
        }
    }
}

impl ConfigService {
    /// Publishes a manifest as given, without looking into it.
    ///
    /// # Errors
    ///
    /// Returns an answer with status 413 if the value is above 1 MB.
    pub fn publish_manifest(&self, value: Vec<u8>) -> Result<u64, HttpResponse> {
        self.publish(value, |state| &mut state.manifest)
    }

    /// Publishes an instance list, given as an array or as an object with `instances`.
    ///
    /// # Errors
    ///
    /// Returns an answer with status 400 for another form, or 413 if the value is above 1 MB.
    pub fn publish_instances(&self, value: &[u8]) -> Result<u64, HttpResponse> {
        let parsed: Value = serde_json::from_slice(value)
            .map_err(|error| HttpResponse::new(400, error.to_string()))?;
        let list = parsed.get("instances").unwrap_or(&parsed);
        if !list.is_array() {
            return Err(HttpResponse::new(400, "no list of instances"));
        }
        self.publish(list.to_string().into_bytes(), |state| &mut state.instances)
    }

    fn publish<F>(&self, value: Vec<u8>, part: F) -> Result<u64, HttpResponse>
    where
        F: FnOnce(&mut State) -> &mut Part,
    {
        if value.len() > VALUE_LIMIT {
            return Err(HttpResponse::new(413, "value above 1 MB"));
        }
        let mut state = self.lock();
        let revision = part(&mut state).history.publish(Instant::now(), value);
        drop(state);
        self.changed.notify_all();
        Ok(revision)
    }

    /// Sets a fault.
    pub fn set_fault(&self, request: &PlatformFault) {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some(lag) = request.instance_lag_ms {
            state.instances.lag = Duration::from_millis(lag);
        }
        let State {
            manifest,
            instances,
            ..
        } = &mut *state;
        let parts = [
            (FaultTarget::Manifest, manifest),
            (FaultTarget::Instances, instances),
        ];
        for (target, part) in parts {
            if request.target != FaultTarget::All && request.target != target {
                continue;
            }
            let newest = part.history.revision(now, part.lag);
            part.fault = (request.mode != PlatformFaultMode::None).then(|| Fault {
                mode: request.mode,
                end: request.for_ms.map(|time| now + Duration::from_millis(time)),
                delay: Duration::from_millis(request.slow_ms),
                revision: newest.saturating_sub(request.behind).max(newest.min(1)),
            });
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Returns whether the manifest and the instance list are to be reached at all.
    #[must_use]
    pub fn open_parts(&self) -> (bool, bool) {
        let now = Instant::now();
        let state = self.lock();
        let open = |part: &Part| part.mode(now) != PlatformFaultMode::Down;
        (open(&state.manifest), open(&state.instances))
    }

    /// Returns counts of calls as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        self.lock().counts.report()
    }

    fn watch(&self, request: &HttpRequest, manifest: bool) -> HandlerReply {
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let after = request.query_number("after");
        let end = Instant::now() + wait;
        let mut state = self.lock();
        let mut held = false;
        let reply = loop {
            let now = Instant::now();
            let part = state.part(manifest);
            let revision = part.revision(now);
            match part.mode(now) {
                PlatformFaultMode::Silent => break HandlerReply::NoResponse,
                PlatformFaultMode::Down => break HandlerReply::ResetConnection,
                _ => {}
            }
            if after != Some(revision) {
                break part.answer(revision, manifest);
            }
            if now >= end {
                let answer = HttpResponse::new(304, "").with("x-revision", revision.to_string());
                break HandlerReply::Respond(answer);
            }
            if !held {
                held = true;
                state.counts.hold(true);
            }
            let step = WATCH_STEP.min(end - now);
            let woken = self.changed.wait_timeout(state, step);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        };
        if held {
            state.counts.hold(false);
        }
        let fault = state.part(manifest).fault(Instant::now());
        drop(state);
        if let Some(fault) = fault
            && fault.mode == PlatformFaultMode::Slow
        {
            thread::sleep(fault.delay);
        }
        reply
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn part(&self, manifest: bool) -> &Part {
        if manifest {
            &self.manifest
        } else {
            &self.instances
        }
    }
}

impl Part {
    fn answer(&self, revision: u64, manifest: bool) -> HandlerReply {
        let Some(value) = self.history.value(revision) else {
            return HandlerReply::Respond(HttpResponse::new(404, "nothing published"));
        };
        let answer = if manifest {
            HttpResponse::new(200, value).with("content-type", "application/json")
        } else {
            let list: Value = serde_json::from_slice(value).unwrap_or_default();
            HttpResponse::json(&json!({ "revision": revision, "instances": list }))
        };
        HandlerReply::Respond(answer.with("x-revision", revision.to_string()))
    }
}

impl HttpHandler for ConfigService {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        self.lock().counts.started(&request.path);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/manifest") => self.watch(request, true),
            ("GET", "/v1/instances") => self.watch(request, false),
            _ => HandlerReply::Respond(HttpResponse::new(404, "no such path")),
        }
    }

    fn sent(&self, bytes: usize) {
        self.lock().counts.sent(bytes);
    }
}
