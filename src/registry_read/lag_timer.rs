use crate::clock::ClockTime;

/// Measures for how long a node has known of changes that its configuration lacks.
///
/// # Examples
///
/// ```
/// use endivelanding::clock::ClockTime;
/// use endivelanding::registry_read::LagTimer;
///
/// let mut timer = LagTimer::default();
/// timer.update(ClockTime(5_000), true);
/// timer.update(ClockTime(5_400), true);
/// assert_eq!(timer.lag(ClockTime(5_700)), Some(ClockTime(700)));
/// timer.update(ClockTime(5_800), false);
/// assert_eq!(timer.lag(ClockTime(5_900)), None);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct LagTimer {
    since: Option<ClockTime>,
}

impl LagTimer {
    /// Records whether the configuration lags behind at the given time.
    pub fn update(&mut self, now: ClockTime, is_lagging: bool) {
        self.since = is_lagging.then(|| self.since.unwrap_or(now));
    }

    /// Returns the time since the lag was noticed, or `None` if the configuration does not lag behind.
    #[must_use]
    pub fn lag(&self, now: ClockTime) -> Option<ClockTime> {
        self.since.map(|since| now - since)
    }
}
