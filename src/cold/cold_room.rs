use std::cell::{Cell, RefCell};

use futures_channel::mpsc;

use crate::clock::{ClockTime, SystemClock};
use crate::cold::{ArrivalLimiter, ColdPhase, ColdState};
use crate::mesh::ServiceSpec;
use crate::sidecar::MeshBounds;

/// Share of the allowed requests per second that is used. The rest covers requests that arrive at the
/// endpoint closer together than they were sent.
const USED_SHARE: f64 = 0.9;

/// What a cold endpoint of the service tolerates.
#[derive(Debug, Clone, PartialEq)]
struct ColdLimits {
    requests_per_s: usize,
    cold_start: ClockTime,
    health_path: String,
}

/// The room for requests at the local endpoint while it is cold.
pub(crate) struct ColdRoom {
    clock: SystemClock,
    state: RefCell<ColdState>,
    limiter: RefCell<ArrivalLimiter>,
    /// `None` unless the configuration limits the requests to cold endpoints of the service.
    limits: RefCell<Option<ColdLimits>>,
    wake: RefCell<mpsc::Sender<()>>,
    waiter: RefCell<Option<mpsc::Receiver<()>>>,
    /// Requests that were started while the endpoint was cold or suspected.
    limited_count: Cell<u64>,
}

impl ColdRoom {
    pub(crate) fn new(clock: SystemClock) -> Self {
        let (wake, waiter) = mpsc::channel(1);
        Self {
            clock,
            state: RefCell::default(),
            limiter: RefCell::new(ArrivalLimiter::new(clock.now(), 1)),
            limits: RefCell::default(),
            wake: RefCell::new(wake),
            waiter: RefCell::new(Some(waiter)),
            limited_count: Cell::new(0),
        }
    }

    /// Applies the limits that the configuration sets for the service.
    pub(crate) fn configure(&self, spec: Option<&ServiceSpec>, bounds: &MeshBounds) {
        let limits = spec.and_then(|spec| {
            let allowed = spec.cold_rate? * bounds.cold_excess + bounds.cold_tolerance;
            Some(ColdLimits {
                requests_per_s: (allowed * USED_SHARE) as usize,
                cold_start: spec.cold_start,
                health_path: spec.health_path.clone(),
            })
        });
        if *self.limits.borrow() == limits {
            return;
        }
        if let Some(limits) = &limits {
            let mut limiter = self.limiter.borrow_mut();
            limiter.set_limit(limits.requests_per_s);
        }
        *self.limits.borrow_mut() = limits;
        self.suspect("limits configured");
    }

    /// Records a sign that the endpoint may have become cold.
    pub(crate) fn suspect(&self, cause: &'static str) {
        let limits = self.limits.borrow();
        let Some(limits) = limits.as_ref() else {
            return;
        };
        let now = self.clock.now();
        if self.state.borrow_mut().suspect(now, limits.cold_start) {
            log::info!("event=cold_suspected cause=\"{cause}\"");
        }
        self.wake();
    }

    /// Records the remaining cold time in a health response.
    pub(crate) fn record_health(&self, remaining: ClockTime) {
        let now = self.clock.now();
        self.state.borrow_mut().record_health(now, remaining);
        log::info!("event=cold_checked remaining={remaining}");
    }

    /// Returns the path of the health check if a suspicion has to be settled.
    pub(crate) fn probe_path(&self) -> Option<String> {
        let limits = self.limits.borrow();
        let limits = limits
            .as_ref()
            .filter(|limits| !limits.health_path.is_empty())?;
        let phase = self.state.borrow().phase(self.clock.now());
        (phase == ColdPhase::Suspected).then(|| limits.health_path.clone())
    }

    /// Returns the phase, or `Warm` if requests to cold endpoints are not limited.
    pub(crate) fn phase(&self) -> ColdPhase {
        match self.limits.borrow().is_some() {
            true => self.state.borrow().phase(self.clock.now()),
            false => ColdPhase::Warm,
        }
    }

    /// Returns the earliest time at which a request may start; it has passed unless the endpoint is cold.
    pub(crate) fn opens_at(&self) -> ClockTime {
        match self.phase() {
            ColdPhase::Warm => ClockTime(0),
            ColdPhase::Cold | ColdPhase::Suspected => self.limiter.borrow().opens_at(),
        }
    }

    /// Returns the requests per second to which the endpoint is limited now.
    pub(crate) fn pace(&self) -> Option<f64> {
        let is_limited = self.phase() != ColdPhase::Warm;
        is_limited.then(|| self.limiter.borrow().limit() as f64)
    }

    /// Records that a request or a probe is sent to the endpoint.
    pub(crate) fn record_send(&self) {
        self.limiter.borrow_mut().record_send(self.clock.now());
        if self.phase() != ColdPhase::Warm {
            self.limited_count.set(self.limited_count.get() + 1);
        }
    }

    /// Returns the number of requests that were started while the endpoint was cold or suspected.
    pub(crate) fn limited_count(&self) -> u64 {
        self.limited_count.get()
    }

    /// Wakes the task that settles suspicions and starts requests that wait for room.
    pub(crate) fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.wake.borrow_mut().try_send(());
    }

    /// Takes the receiver of wake-ups, of which there is one.
    pub(crate) fn take_waiter(&self) -> Option<mpsc::Receiver<()>> {
        self.waiter.borrow_mut().take()
    }
}
