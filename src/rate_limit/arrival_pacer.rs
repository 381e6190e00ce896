use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::{HeaderMap, HeaderName};

use crate::clock::{ClockTime, SystemClock};
use crate::cold::ColdRoom;
use crate::error::Result;
use crate::rate_limit::{AdvertisedLimit, LimitChange, RequestRate, advertised_rate};

/// Pacing of the requests that are sent to the local endpoint.
///
/// All requests to an endpoint pass the node beside it, so this node alone can keep them within a limit
/// that holds for all nodes together.
#[derive(Debug)]
pub struct ArrivalPacer {
    clock: SystemClock,
    room: Rc<ColdRoom>,
    limit: RefCell<AdvertisedLimit>,
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
        Ok(self.limit.borrow_mut().record(now, sent_at, rate))
    }

    /// Returns the rate limit that the endpoint advertises.
    #[must_use]
    pub fn advertised(&self) -> Option<RequestRate> {
        self.limit.borrow().rate()
    }

    /// Records that a request or a probe is sent to the endpoint.
    pub fn record_send(&self) {
        self.room.record_send();
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
