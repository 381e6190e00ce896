use crate::clock::ClockTime;
use crate::retry::call_window::CallWindow;

/// Span after which one extra attempt is always allowed, in ms.
const FREE_INTERVAL: ClockTime = ClockTime(1_000);

/// Limits extra attempts to 10% of the calls of the last 10 s, and at least 1 a second.
///
/// Without a limit, retries multiply the load when the service is overloaded already.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: CallWindow,
    last_extra: Option<ClockTime>,
}

impl RetryBudget {
    /// Records a call that is not itself an extra attempt.
    pub fn record_call(&mut self, now: ClockTime) {
        self.window.add(now, 1, 0);
    }

    /// Returns whether an extra attempt is allowed, and if so counts it.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        let (calls, extras) = self.window.totals(now);
        let free = self
            .last_extra
            .is_none_or(|last| now - last >= FREE_INTERVAL);
        let allowed = free || (extras + 1) * 10 <= calls;
        if allowed {
            self.window.add(now, 0, 1);
            self.last_extra = Some(now);
        }
        allowed
    }
}
