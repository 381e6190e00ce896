use std::cell::{Cell, RefCell};

use futures_channel::mpsc;

use crate::clock::{ClockTime, SystemClock};
use crate::cold::{ArrivalLimiter, ColdPhase, ColdState};
use crate::mesh::ServiceSpec;
use crate::sidecar::MeshBounds;

/// Share of the allowed requests per second that is used. The rest covers requests that arrive at the
/// endpoint closer together than they were sent.
const USED_SHARE: f64 = 0.9;

/// Requests per second until the first configuration. Other nodes send requests to a node that starts
/// before it has one, and its endpoint may be cold.
const UNCONFIGURED_REQUEST_COUNT: usize = 8;

/// What a cold endpoint of the service tolerates.
#[derive(Debug, Clone, PartialEq)]
struct ColdLimits {
    requests_per_s: usize,
    cold_start: ClockTime,
    health_path: String,
}

/// The room for requests at the local endpoint while it is cold.
#[derive(Debug)]
pub struct ColdRoom {
    clock: SystemClock,
    state: RefCell<ColdState>,
    limiter: RefCell<ArrivalLimiter>,
    /// Limiter until the first configuration tells what the endpoint tolerates.
    unconfigured: RefCell<ArrivalLimiter>,
    is_configured: Cell<bool>,
    /// `None` unless the configuration limits the requests to cold endpoints of the service.
    limits: RefCell<Option<ColdLimits>>,
    wake: RefCell<mpsc::Sender<()>>,
    waiter: RefCell<Option<mpsc::Receiver<()>>>,
    /// Requests that were started while the endpoint was cold or suspected.
    limited_count: Cell<u64>,
}

impl ColdRoom {
    /// Creates the room of a process that starts.
    #[must_use]
    pub fn new(clock: SystemClock) -> Self {
        let (wake, waiter) = mpsc::channel(1);
        Self {
            clock,
            state: RefCell::default(),
            limiter: RefCell::new(ArrivalLimiter::new(clock.now(), 1)),
            unconfigured: RefCell::new(ArrivalLimiter::new(
                ClockTime(0),
                UNCONFIGURED_REQUEST_COUNT,
            )),
            is_configured: Cell::new(false),
            limits: RefCell::default(),
            wake: RefCell::new(wake),
            waiter: RefCell::new(Some(waiter)),
            limited_count: Cell::new(0),
        }
    }

    /// Applies the limits that the configuration sets for the service.
    pub fn configure(&self, spec: Option<&ServiceSpec>, bounds: &MeshBounds) {
        let limits = spec.and_then(|spec| {
            let allowed = spec.cold_rate? * bounds.cold_excess + bounds.cold_tolerance;
            Some(ColdLimits {
                requests_per_s: (allowed * USED_SHARE) as usize,
                cold_start: spec.cold_start,
                health_path: spec.health_path.clone(),
            })
        });
        let is_first = !self.is_configured.replace(true);
        if *self.limits.borrow() == limits {
            if is_first {
                self.wake();
            }
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
    pub fn suspect(&self, cause: &'static str) {
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
    pub fn record_health(&self, remaining: ClockTime) {
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

    /// Returns the phase, or `Warm` if requests to cold endpoints are not limited. Before the first
    /// configuration, which tells so, the endpoint is suspected.
    #[must_use]
    pub fn phase(&self) -> ColdPhase {
        match (self.is_configured.get(), self.limits.borrow().is_some()) {
            (false, _) => ColdPhase::Suspected,
            (true, true) => self.state.borrow().phase(self.clock.now()),
            (true, false) => ColdPhase::Warm,
        }
    }

    fn active_limiter(&self) -> &RefCell<ArrivalLimiter> {
        match self.is_configured.get() {
            true => &self.limiter,
            false => &self.unconfigured,
        }
    }

    /// Returns the earliest time at which a request may start; it has passed unless the endpoint is cold.
    #[must_use]
    pub fn opens_at(&self) -> ClockTime {
        match self.phase() {
            ColdPhase::Warm => ClockTime(0),
            ColdPhase::Cold | ColdPhase::Suspected => self.active_limiter().borrow().opens_at(),
        }
    }

    /// Returns the requests per second to which the endpoint is limited now.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        let is_limited = self.phase() != ColdPhase::Warm;
        is_limited.then(|| self.active_limiter().borrow().limit() as f64)
    }

    /// Records that a request or a probe is sent to the endpoint.
    pub fn record_send(&self) {
        let now = self.clock.now();
        self.limiter.borrow_mut().record_send(now);
        self.unconfigured.borrow_mut().record_send(now);
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
