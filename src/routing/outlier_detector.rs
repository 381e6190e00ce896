use crate::clock::ClockTime;

/// Failures in a row that eject an endpoint.
const FAILURE_LIMIT: u32 = 3;
/// Length of the first ejection.
const FIRST_EJECTION: ClockTime = ClockTime(1_000);
/// Length of the longest ejection.
const LONGEST_EJECTION: ClockTime = ClockTime(30_000);

/// Keeps work from one endpoint for a time after failures or high latency.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    failures: u32,
    ejections: u32,
    until: Option<ClockTime>,
    probe: Option<ClockTime>,
}

impl OutlierDetector {
    /// Returns whether a call may be sent; after an ejection that is one probe at a time.
    #[must_use]
    pub fn admits(&self, now: ClockTime) -> bool {
        self.until
            .is_none_or(|until| now >= until && self.probe.is_none())
    }

    /// Returns whether the endpoint is ejected and its time has not yet passed.
    #[must_use]
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records the start of a call; the first one after an ejection is the probe.
    pub fn start(&mut self, now: ClockTime) {
        if self.until.is_some_and(|until| now >= until) && self.probe.is_none() {
            self.probe = Some(now);
        }
    }

    /// Records a whole answer to a call that started at `started`; returns whether it was a probe.
    pub fn succeed(&mut self, started: ClockTime) -> bool {
        self.failures = 0;
        let probed = self.probe.is_some_and(|probe| started >= probe);
        if probed {
            self.until = None;
            self.probe = None;
        } else if self.until.is_none() {
            self.ejections = self.ejections.saturating_sub(1);
        }
        probed
    }

    /// Records a failure of a call that started at `started`.
    ///
    /// Failures of calls sent before an ejection don't lengthen it.
    pub fn fail(&mut self, now: ClockTime, started: ClockTime) {
        if self.until.is_some() {
            if self.probe.is_some_and(|probe| started >= probe) {
                self.eject(now);
            }
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            self.eject(now);
        }
    }

    /// Records a probe without a result, so that another can follow.
    pub fn release(&mut self, started: ClockTime) {
        if self.probe.is_some_and(|probe| started >= probe) {
            self.probe = None;
        }
    }

    /// Ejects the endpoint for 1 s, doubled at each ejection in a row up to 30 s.
    pub fn eject(&mut self, now: ClockTime) {
        let span = FIRST_EJECTION.0 << self.ejections.min(5);
        self.until = Some(now + ClockTime(span.min(LONGEST_EJECTION.0)));
        self.ejections = (self.ejections + 1).min(6);
        self.failures = 0;
        self.probe = None;
    }
}
