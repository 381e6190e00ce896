use crate::clock::ClockTime;

/// Consecutive failures after which an endpoint is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection.
const FIRST_EJECTION: ClockTime = ClockTime(1_000);
/// Maximum duration of an ejection.
const MAX_EJECTION: ClockTime = ClockTime(30_000);

/// Temporary ejection of one endpoint after consecutive failures or high latency.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    failures: u32,
    ejections: u32,
    ejected_until: Option<ClockTime>,
    probe_started: Option<ClockTime>,
}

impl OutlierDetector {
    /// Returns whether a call may be sent. After an ejection, one probe is allowed at a time.
    #[must_use]
    pub fn admits(&self, now: ClockTime) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && self.probe_started.is_none())
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records the start of a call; the first call after an ejection is the probe.
    pub fn record_start(&mut self, now: ClockTime) {
        if self.ejected_until.is_some_and(|until| now >= until) && self.probe_started.is_none() {
            self.probe_started = Some(now);
        }
    }

    /// Records a complete response to a call that started at `started`.
    ///
    /// Returns whether the call was a probe.
    pub fn record_success(&mut self, started: ClockTime) -> bool {
        self.failures = 0;
        let probed = self.probe_started.is_some_and(|probe| started >= probe);
        if probed {
            self.ejected_until = None;
            self.probe_started = None;
        } else if self.ejected_until.is_none() {
            self.ejections = self.ejections.saturating_sub(1);
        }
        probed
    }

    /// Records a failure of a call that started at `started`.
    ///
    /// Failures of calls sent before the ejection do not extend it.
    pub fn record_failure(&mut self, now: ClockTime, started: ClockTime) {
        if self.ejected_until.is_some() {
            if self.probe_started.is_some_and(|probe| started >= probe) {
                self.eject(now);
            }
            return;
        }
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.eject(now);
        }
    }

    /// Records that a probe ended without a result, so that another can be sent.
    pub fn release_probe(&mut self, started: ClockTime) {
        if self.probe_started.is_some_and(|probe| started >= probe) {
            self.probe_started = None;
        }
    }

    /// Ejects the endpoint for 1 s, doubled with each consecutive ejection up to 30 s.
    pub fn eject(&mut self, now: ClockTime) {
        let duration_ms = FIRST_EJECTION.0 << self.ejections.min(5);
        self.ejected_until = Some(now + ClockTime(duration_ms.min(MAX_EJECTION.0)));
        self.ejections = (self.ejections + 1).min(6);
        self.failures = 0;
        self.probe_started = None;
    }
}
