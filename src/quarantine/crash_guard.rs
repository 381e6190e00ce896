use std::cell::RefCell;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::quarantine::{CrashId, CrashWatch, Fingerprint, RecentRuns, SoloPermit, SoloSlot};
use crate::sidecar::forward_message::ForwardRequestHeader;
use crate::sidecar::node_state::NodeState;

/// Maximum size of the body of a request that is remembered after it has run to its end.
const MAX_REMEMBERED_BYTES: usize = 64 * 1024;

/// Protection of the local endpoint from requests that crash endpoints, and their detection.
pub(crate) struct CrashGuard {
    state: Rc<NodeState>,
    watch: RefCell<CrashWatch>,
    recent_runs: RefCell<RecentRuns>,
    /// Slot for requests that are suspected of a crash or have lost a connection.
    solo: Rc<SoloSlot>,
}

impl CrashGuard {
    pub(crate) fn new(state: Rc<NodeState>) -> Self {
        Self {
            state,
            watch: RefCell::default(),
            recent_runs: RefCell::default(),
            solo: Rc::default(),
        }
    }

    /// Returns whether a request is suspected of a crash.
    pub(crate) fn is_suspected(&self, request: &ForwardRequestHeader, body: &[u8]) -> bool {
        let quarantine = &self.state.quarantine;
        !quarantine.is_empty() && quarantine.is_suspected(&fingerprint(request, body))
    }

    /// Returns whether a request is kept from endpoints.
    pub(crate) fn is_quarantined(&self, request: &ForwardRequestHeader, body: &[u8]) -> bool {
        let quarantine = &self.state.quarantine;
        !quarantine.is_empty() && quarantine.contains(&fingerprint(request, body))
    }

    /// Waits until no other suspected request runs; returns `None` if that takes longer than `max_wait`.
    pub(crate) async fn run_alone(&self, max_wait: ClockTime) -> Option<SoloPermit> {
        self.solo.acquire(max_wait).await
    }

    /// Records that a request has run to its end, so that it is not suspected of crashes.
    pub(crate) fn record_completion(&self, request: &ForwardRequestHeader, body: &[u8]) {
        let is_short = body.len() <= MAX_REMEMBERED_BYTES;
        if !is_short && self.state.quarantine.is_empty() {
            return;
        }
        let fingerprint = fingerprint(request, body);
        self.state.quarantine.record_completion(&fingerprint);
        if is_short {
            let now = self.state.clock.now();
            self.recent_runs.borrow_mut().record(now, fingerprint);
        }
    }

    /// Records that the endpoint closed the connection of a request that it worked on. Returns true if it is
    /// to be found out whether the endpoint has crashed.
    pub(crate) fn record_loss(&self, request: &ForwardRequestHeader, body: &[u8]) -> bool {
        let fingerprint = fingerprint(request, body);
        log::info!(
            "event=request_lost request={} endpoint={} fingerprint={fingerprint}",
            request.request_id,
            request.endpoint
        );
        let now = self.state.clock.now();
        self.watch.borrow_mut().record_loss(now, fingerprint)
    }

    /// Records that the endpoint of a request has not crashed.
    pub(crate) fn dismiss(&self) {
        self.watch.borrow_mut().take_suspects();
    }

    /// Records that the endpoint of a request has crashed.
    pub(crate) fn record_crash(&self, request: &ForwardRequestHeader) {
        let mut suspects = self.watch.borrow_mut().take_suspects();
        let at_work = suspects.len();
        let mut recent_runs = self.recent_runs.borrow_mut();
        suspects.retain(|request| !recent_runs.contains(request));
        recent_runs.clear();
        let names: Vec<String> = suspects.iter().map(ToString::to_string).collect();
        self.state.metrics.record_endpoint_event("crashed");
        log::warn!(
            "event=endpoint_crashed endpoint={} born={} requests={at_work} suspects={}",
            request.endpoint,
            request.endpoint_born,
            names.join(",")
        );
        let crash = CrashId::of(&request.endpoint, request.endpoint_born);
        self.state.quarantine.record_crash(crash, &suspects);
    }
}

fn fingerprint(request: &ForwardRequestHeader, body: &[u8]) -> Fingerprint {
    Fingerprint::of(&request.method, &request.target, &request.caller, body)
}
