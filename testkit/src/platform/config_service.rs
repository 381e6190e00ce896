use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::platform::{CallCounts, FaultTarget, PlatformFault, PlatformFaultMode, ValueHistory};
use crate::wire::{HandlerReply, HttpHandler, HttpRequest, HttpResponse};

/// Maximum size of a published value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Interval at which a waiting watch re-reads the clock; bounds the delay with which it detects the
/// end of a fault or of the instance lag.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Emulated configuration service and instance list with injectable faults.
#[derive(Debug, Default)]
pub struct ConfigService {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    manifest: PublishedResource,
    instances: PublishedResource,
    counts: CallCounts,
}

#[derive(Debug, Default)]
struct PublishedResource {
    history: ValueHistory,
    lag: Duration,
    fault: Option<ActiveFault>,
}

#[derive(Debug, Clone, Copy)]
struct ActiveFault {
    mode: PlatformFaultMode,
    end: Option<Instant>,
    delay: Duration,
    /// Revision that is served in mode `stale`.
    stale_revision: u64,
}

impl PublishedResource {
    fn active_fault(&self, now: Instant) -> Option<ActiveFault> {
        self.fault
            .filter(|fault| fault.end.is_none_or(|end| now < end))
    }

    fn fault_mode(&self, now: Instant) -> PlatformFaultMode {
        self.active_fault(now)
            .map_or(PlatformFaultMode::None, |fault| fault.mode)
    }

    fn visible_revision(&self, now: Instant) -> u64 {
        match self.active_fault(now) {
            Some(fault) if fault.mode == PlatformFaultMode::Stale => fault.stale_revision,
            _ => self.history.visible_revision(now, self.lag),
        }
    }
}

impl ConfigService {
    /// Publishes a manifest without parsing it and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns a response with status 413 if the value exceeds 1 MB.
    pub fn publish_manifest(&self, value: Vec<u8>) -> Result<u64, HttpResponse> {
        self.publish(value, |state| &mut state.manifest)
    }

    /// Publishes an instance list, given as an array or as an object with `instances`, and returns
    /// its revision.
    ///
    /// # Errors
    ///
    /// Returns a response with status 400 if the value has another form, or 413 if it exceeds 1 MB.
    pub fn publish_instances(&self, value: &[u8]) -> Result<u64, HttpResponse> {
        let parsed: Value = serde_json::from_slice(value)
            .map_err(|error| HttpResponse::new(400, error.to_string()))?;
        let list = parsed.get("instances").unwrap_or(&parsed);
        if !list.is_array() {
            return Err(HttpResponse::new(400, "no list of instances"));
        }
        self.publish(list.to_string().into_bytes(), |state| &mut state.instances)
    }

    fn publish<F>(&self, value: Vec<u8>, resource: F) -> Result<u64, HttpResponse>
    where
        F: FnOnce(&mut State) -> &mut PublishedResource,
    {
        if value.len() > MAX_VALUE_BYTES {
            return Err(HttpResponse::new(413, "value above 1 MB"));
        }
        let mut state = self.lock();
        let revision = resource(&mut state).history.publish(Instant::now(), value);
        drop(state);
        self.changed.notify_all();
        Ok(revision)
    }

    /// Replaces the fault of the requested target and sets the instance lag if one is given.
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
        let resources = [
            (FaultTarget::Manifest, manifest),
            (FaultTarget::Instances, instances),
        ];
        for (target, resource) in resources {
            if request.target != FaultTarget::All && request.target != target {
                continue;
            }
            let newest = resource.history.visible_revision(now, resource.lag);
            resource.fault = (request.mode != PlatformFaultMode::None).then(|| ActiveFault {
                mode: request.mode,
                end: request.for_ms.map(|time| now + Duration::from_millis(time)),
                delay: Duration::from_millis(request.slow_ms),
                stale_revision: newest.saturating_sub(request.behind).max(newest.min(1)),
            });
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Returns whether the manifest and the instance list accept connections.
    #[must_use]
    pub fn reachability(&self) -> (bool, bool) {
        let now = Instant::now();
        let state = self.lock();
        let reachable =
            |resource: &PublishedResource| resource.fault_mode(now) != PlatformFaultMode::Down;
        (reachable(&state.manifest), reachable(&state.instances))
    }

    /// Returns the request counters as JSON.
    #[must_use]
    pub fn report(&self) -> Value {
        self.lock().counts.report()
    }

    fn watch(&self, request: &HttpRequest, manifest: bool) -> HandlerReply {
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let after = request.query_number("after");
        let end = Instant::now() + wait;
        let mut state = self.lock();
        let mut waiting = false;
        let reply = loop {
            let now = Instant::now();
            let resource = state.resource(manifest);
            let revision = resource.visible_revision(now);
            match resource.fault_mode(now) {
                PlatformFaultMode::Silent => break HandlerReply::NoResponse,
                PlatformFaultMode::Down => break HandlerReply::ResetConnection,
                _ => {}
            }
            if after != Some(revision) {
                break resource.response(revision, manifest);
            }
            if now >= end {
                let response =
                    HttpResponse::new(304, "").with_header("x-revision", revision.to_string());
                break HandlerReply::Respond(response);
            }
            if !waiting {
                waiting = true;
                state.counts.record_watch(true);
            }
            let step = WATCH_POLL_INTERVAL.min(end - now);
            let result = self.changed.wait_timeout(state, step);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        };
        if waiting {
            state.counts.record_watch(false);
        }
        let fault = state.resource(manifest).active_fault(Instant::now());
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
    fn resource(&self, manifest: bool) -> &PublishedResource {
        if manifest {
            &self.manifest
        } else {
            &self.instances
        }
    }
}

impl PublishedResource {
    fn response(&self, revision: u64, manifest: bool) -> HandlerReply {
        let Some(value) = self.history.value(revision) else {
            return HandlerReply::Respond(HttpResponse::new(404, "nothing published"));
        };
        let response = if manifest {
            HttpResponse::new(200, value).with_header("content-type", "application/json")
        } else {
            let list: Value = serde_json::from_slice(value).unwrap_or_default();
            HttpResponse::json(&json!({ "revision": revision, "instances": list }))
        };
        HandlerReply::Respond(response.with_header("x-revision", revision.to_string()))
    }
}

impl HttpHandler for ConfigService {
    fn handle(&self, request: &HttpRequest) -> HandlerReply {
        self.lock().counts.record_request(&request.path);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/manifest") => self.watch(request, true),
            ("GET", "/v1/instances") => self.watch(request, false),
            _ => HandlerReply::Respond(HttpResponse::new(404, "no such path")),
        }
    }

    fn on_bytes_sent(&self, bytes: usize) {
        self.lock().counts.add_bytes_sent(bytes);
    }
}
