use crate::clock::ClockTime;

/// Time after the end of an outage within which expired endpoints register again.
const REREGISTRATION_TIME: ClockTime = ClockTime(2_000);
/// Time for a node to read the entries that were written within the reregistration time.
const READ_MARGIN: ClockTime = ClockTime(250);
/// Time from the last failed read until missing entries are dropped. The outage ends after that read,
/// so this stays below 3 s from its end, from which on a missing endpoint must not be used.
const MAX_KEEP_TIME: ClockTime = ClockTime(2_750);

/// The outage of the registry that a node observes through its own reads.
///
/// It decides how long entries that are missing after an outage are kept: until the endpoints have had
/// the time to register again, counted from the end of the outage. The end lies between the last read
/// that failed and the first that succeeds.
#[derive(Debug, Clone, Default)]
pub struct RegistryOutage {
    failed_at: Option<ClockTime>,
}

impl RegistryOutage {
    /// Creates the state of a node whose reads have not failed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns true if the last read failed.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Records a failed read; returns true if it is the first one.
    pub fn record_failure(&mut self, now: ClockTime) -> bool {
        self.failed_at.replace(now).is_none()
    }

    /// Ends the outage with a successful read; returns the time until which missing entries are kept, or
    /// `None` if no read had failed.
    pub fn end(&mut self, now: ClockTime) -> Option<ClockTime> {
        let failed_at = self.failed_at.take()?;
        let latest = failed_at + MAX_KEEP_TIME;
        Some(kept_until(now).min(latest))
    }
}

/// Returns the time until which entries are kept that are missing in a read at `read_at`, the first one
/// after an outage.
#[must_use]
pub fn kept_until(read_at: ClockTime) -> ClockTime {
    read_at + REREGISTRATION_TIME + READ_MARGIN
}
