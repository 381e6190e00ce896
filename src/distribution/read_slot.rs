use crate::clock::ClockTime;

/// Wait after a failed read.
const RETRY_WAIT: ClockTime = ClockTime(1_000);

/// Follows the reads of one value of the platform, of which one runs at a time.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadSlot {
    running: bool,
    outdated: bool,
    next: ClockTime,
    /// Revision of the last value.
    pub(crate) revision: Option<u64>,
}

impl ReadSlot {
    pub(crate) fn is_due(&self, now: ClockTime) -> bool {
        !self.running && now >= self.next
    }

    pub(crate) fn start(&mut self) {
        self.running = true;
    }

    /// Marks a running read as begun before a pause, so that it confirms nothing.
    pub(crate) fn pause(&mut self) {
        self.outdated = self.running;
    }

    /// Records the end of a read and returns whether it confirms the state of the platform.
    pub(crate) fn finish(&mut self, success: bool, now: ClockTime) -> bool {
        self.running = false;
        if !success {
            self.next = now + RETRY_WAIT;
        }
        success && !std::mem::take(&mut self.outdated)
    }
}
