use std::fmt;

use crate::clock::ClockTime;
use crate::rate_limit::RequestRate;

/// A change of an advertised limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit before the change; `None` if there was none.
    pub previous: Option<RequestRate>,
    /// Limit after the change; `None` if there is none.
    pub current: Option<RequestRate>,
}

impl fmt::Display for LimitChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |rate: Option<RequestRate>| {
            rate.map_or_else(|| "-".to_owned(), |rate| rate.to_string())
        };
        write!(
            formatter,
            "limit={} previous={}",
            text(self.current),
            text(self.previous)
        )
    }
}

/// The rate limit that one incarnation of an endpoint advertises in its responses.
///
/// Responses on different connections may be read in another order than they were written. A response
/// therefore loosens the limit only if its request was sent after the response that set the limit was read.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedLimit {
    rate: Option<RequestRate>,
    set_at: ClockTime,
}

impl AdvertisedLimit {
    /// Returns the limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Records the limit in a response that was read now, to a request that was sent at `sent_at`. Returns
    /// the change, if any.
    pub fn record(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let is_looser = match (self.rate, rate) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(current), Some(rate)) => rate > current,
        };
        if is_looser && sent_at <= self.set_at {
            return None;
        }
        self.set_at = now;
        let previous = std::mem::replace(&mut self.rate, rate);
        (previous != rate).then_some(LimitChange {
            previous,
            current: rate,
        })
    }
}
