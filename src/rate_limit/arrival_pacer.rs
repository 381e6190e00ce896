use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::{HeaderMap, HeaderName};

use crate::clock::{ClockTime, SystemClock};
use crate::cold::ColdRoom;
use crate::error::Result;
use crate::id::EndpointId;
use crate::rate_limit::{
    AdvertisedLimit, LimitChange, LimitReport, RatePacer, RequestRate, advertised_rate,
};

/// Pacing of the requests that are sent to the local endpoint.
///
/// All requests to an endpoint pass the node beside it, so this node alone can keep them within a limit
/// that holds for all nodes together.
#[derive(Debug)]
pub struct ArrivalPacer {
    clock: SystemClock,
    room: Rc<ColdRoom>,
    limit: RefCell<AdvertisedLimit>,
    /// Incarnation of the endpoint, by identifier and start time.
    incarnation: RefCell<Option<(EndpointId, u64)>>,
    pacer: RefCell<Option<RatePacer>>,
    limited_count: Cell<u64>,
}

impl ArrivalPacer {
    /// Creates a pacer that also keeps to the limits of a cold endpoint.
    #[must_use]
    pub fn new(clock: SystemClock, room: Rc<ColdRoom>) -> Self {
        Self {
            clock,
            room,
            limit: RefCell::default(),
            incarnation: RefCell::default(),
            pacer: RefCell::default(),
            limited_count: Cell::new(0),
        }
    }

    /// Records the limit in a response of the endpoint to a request that was sent at `sent_at`. Returns the
    /// change, if any. A response without a limit ends the limit only if it `is_proven`.
    ///
    /// # Errors
    ///
    /// `PlatformInvalid` if the limit is not a rate; the limit in force then stays.
    pub fn record_response(
        &self,
        sent_at: ClockTime,
        headers: &HeaderMap,
        name: &HeaderName,
        is_proven: bool,
    ) -> Result<Option<LimitChange>> {
        let rate = advertised_rate(headers, name)?;
        if rate.is_none() && !is_proven {
            return Ok(None);
        }
        let now = self.clock.now();
        let change = self.limit.borrow_mut().record(now, sent_at, rate);
        self.apply(change);
        Ok(change)
    }

    /// Applies a limit that another node has learned, until the endpoint responds to this process. Returns
    /// the change, if any.
    pub fn adopt(&self, rate: RequestRate) -> Option<LimitChange> {
        let change = self.limit.borrow_mut().adopt(rate);
        self.apply(change);
        change
    }

    /// Records the incarnation of the endpoint; another one has no limit yet.
    pub fn begin_incarnation(&self, id: &EndpointId, born: u64) {
        let next = Some((id.clone(), born));
        let previous = self.incarnation.replace(next.clone());
        if previous.is_some() && previous != next {
            self.limit.take();
            self.pacer.take();
            self.room.wake();
        }
    }

    fn apply(&self, change: Option<LimitChange>) {
        let Some(change) = change else { return };
        let now = self.clock.now();
        let mut pacer = self.pacer.borrow_mut();
        match (change.current, pacer.as_mut()) {
            (Some(rate), Some(pacer)) => pacer.set_rate(now, rate),
            (Some(rate), None) => *pacer = Some(RatePacer::new(now, rate)),
            (None, _) => *pacer = None,
        }
        drop(pacer);
        self.room.wake();
    }

    /// Returns the earliest time at which another request may start; it has passed if there is no limit.
    #[must_use]
    pub fn opens_at(&self) -> ClockTime {
        let pacer = self.pacer.borrow();
        let opens_at = pacer.as_ref().map_or(ClockTime(0), RatePacer::opens_at);
        opens_at.max(self.room.opens_at())
    }

    /// Returns the requests per second that may start now; `None` if their rate is not limited.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        let pacer = self.pacer.borrow();
        let rates = [self.room.pace(), pacer.as_ref().map(RatePacer::per_second)];
        rates.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Wakes the task that starts requests that wait for room.
    pub(crate) fn wake(&self) {
        self.room.wake();
    }

    /// Returns what is known of the limit that the endpoint advertises.
    #[must_use]
    pub fn report(&self) -> LimitReport {
        self.limit.borrow().report()
    }

    /// Returns the rate limit that the endpoint advertises.
    #[must_use]
    pub fn advertised(&self) -> Option<RequestRate> {
        self.limit.borrow().rate()
    }

    /// Records that a request or a probe is sent to the endpoint.
    pub fn record_send(&self) {
        self.room.record_send();
        if let Some(pacer) = self.pacer.borrow_mut().as_mut() {
            pacer.record_send(self.clock.now());
        }
        if self.advertised().is_some() {
            self.limited_count.set(self.limited_count.get() + 1);
        }
    }

    /// Returns the number of requests that were sent while the endpoint advertised a limit.
    #[must_use]
    pub fn limited_count(&self) -> u64 {
        self.limited_count.get()
    }
}
