use crate::clock::ClockTime;
use crate::retry::attempt_window::AttemptWindow;

/// Time since the last extra attempt after which another is always allowed.
const GUARANTEED_INTERVAL: ClockTime = ClockTime(1_000);

/// Limit on extra attempts: 10% of the calls of the last 10 s, but at least one per second.
///
/// Without a limit, retries multiply the load on a service that is already overloaded.
#[derive(Debug, Default)]
pub struct RetryBudget {
    window: AttemptWindow,
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
        let guaranteed = self
            .last_extra
            .is_none_or(|last| now - last >= GUARANTEED_INTERVAL);
        let allowed = guaranteed || (extras + 1) * 10 <= calls;
        if allowed {
            self.window.add(now, 0, 1);
            self.last_extra = Some(now);
        }
        allowed
    }
}
