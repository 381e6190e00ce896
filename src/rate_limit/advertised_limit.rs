use std::fmt;

use crate::clock::ClockTime;
use crate::rate_limit::{LimitReport, RequestRate};

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
    /// Whether a response has been recorded.
    is_known: bool,
}

impl AdvertisedLimit {
    /// Returns the limit in force.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns what is known of the limit.
    #[must_use]
    pub fn report(&self) -> LimitReport {
        match self.rate {
            Some(rate) => LimitReport::Limited(rate),
            None if self.is_known => LimitReport::Unlimited,
            None => LimitReport::Unknown,
        }
    }

    /// Applies a limit that another node has learned, unless the endpoint itself has responded. Any response
    /// may loosen it. Returns the change, if any.
    pub fn adopt(&mut self, rate: RequestRate) -> Option<LimitChange> {
        if self.is_known || self.rate.is_some_and(|current| current <= rate) {
            return None;
        }
        Some(LimitChange {
            previous: self.rate.replace(rate),
            current: Some(rate),
        })
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
        self.is_known = true;
        self.set_at = now;
        let previous = std::mem::replace(&mut self.rate, rate);
        (previous != rate).then_some(LimitChange {
            previous,
            current: rate,
        })
    }
}
