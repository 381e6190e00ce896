use crate::clock::ClockTime;

/// Delay after a failed read.
const RETRY_DELAY: ClockTime = ClockTime(1_000);

/// Schedule of the reads of one value of the platform, of which at most one runs at a time.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadSchedule {
    running: bool,
    started_before_pause: bool,
    next_allowed: ClockTime,
    /// Revision of the last value read.
    pub(crate) revision: Option<u64>,
}

impl ReadSchedule {
    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        !self.running && now >= self.next_allowed
    }

    pub(crate) fn start(&mut self) {
        self.running = true;
    }

    /// Marks a running read as started before a pause, so that it does not confirm the current
    /// state.
    pub(crate) fn on_pause(&mut self) {
        self.started_before_pause = self.running;
    }

    /// Records the end of a read and returns whether it confirms the current state of the platform.
    pub(crate) fn finish(&mut self, success: bool, now: ClockTime) -> bool {
        self.running = false;
        if !success {
            self.next_allowed = now + RETRY_DELAY;
        }
        success && !std::mem::take(&mut self.started_before_pause)
    }
}
