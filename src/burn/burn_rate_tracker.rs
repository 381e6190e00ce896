use std::collections::BTreeMap;

use crate::burn::{BurnReport, BurnRow, CallWindow};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{KindName, ServiceName};
use crate::settings::BurnSettings;

/// Tracker of good and bad calls by service and kind over a short and a long window.
#[derive(Debug)]
pub struct BurnRateTracker {
    settings: BurnSettings,
    start: ClockTime,
    kinds: BTreeMap<(ServiceName, KindName), KindWindows>,
}

/// Call counts of one kind.
#[derive(Debug)]
struct KindWindows {
    objective: f64,
    short: CallWindow,
    long: CallWindow,
}

impl BurnRateTracker {
    /// Creates a tracker without calls. [`BurnReport::covered`] counts from `now`.
    #[must_use]
    pub fn new(settings: BurnSettings, now: ClockTime) -> Self {
        Self {
            settings,
            start: now,
            kinds: BTreeMap::new(),
        }
    }

    /// Records one call. `objective` comes from the version that the call was resolved against, and
    /// `bad` is the result code of a bad call.
    pub fn record(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        kind: &KindName,
        objective: f64,
        bad: Option<ResultCode>,
    ) {
        let record = self
            .kinds
            .entry((service.clone(), kind.clone()))
            .or_insert_with(|| KindWindows {
                objective,
                short: CallWindow::new(self.settings.short_window),
                long: CallWindow::new(self.settings.long_window),
            });
        record.objective = objective;
        record.short.record(now, bad);
        record.long.record(now, bad);
    }

    /// Returns the report for the windows that end at `now`.
    #[must_use]
    pub fn report(&self, now: ClockTime) -> BurnReport {
        let rows = self
            .kinds
            .iter()
            .map(|((service, kind), record)| {
                let short = record.short.total(now);
                let long = record.long.total(now);
                BurnRow {
                    service: service.clone(),
                    kind: kind.clone(),
                    objective: record.objective,
                    short_calls: short.calls,
                    short_bad: short.bad_calls(),
                    long_calls: long.calls,
                    long_bad: long.bad_calls(),
                    bad_by_code: long.bad,
                }
            })
            .collect();
        BurnReport {
            short_window: self.settings.short_window,
            long_window: self.settings.long_window,
            covered: (now - self.start).min(self.settings.long_window),
            rows,
        }
    }
}
