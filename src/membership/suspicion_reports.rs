use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation, ZoneName};

/// Time after which a report expires.
const REPORT_LIFETIME: ClockTime = ClockTime(30_000);
/// Minimum age of a report before a repetition of it is forwarded.
const MIN_FORWARD_INTERVAL: ClockTime = ClockTime(10_000);
/// Maximum number of reports kept per subject; three reporters in two zones suffice.
const MAX_REPORTS: usize = 16;
/// Number of reporters required if the fleet has several zones.
const MIN_REPORTERS: usize = 3;
/// Number of reporters required if the fleet has one zone.
const MIN_REPORTERS_SINGLE_ZONE: usize = 2;

/// Reports of nodes about other nodes that they could not reach.
///
/// In a fleet with fewer nodes than the required reporters, no node is ever suspected, and each
/// node relies on its own observations only.
#[derive(Debug, Clone, Default)]
pub struct SuspicionReports {
    reports: BTreeMap<NodeAddress, SmallVec<[SuspicionReport; 4]>>,
}

/// Report of one node.
#[derive(Debug, Clone)]
struct SuspicionReport {
    incarnation: NodeIncarnation,
    reporter: NodeAddress,
    zone: ZoneName,
    at: ClockTime,
}

impl SuspicionReports {
    /// Records a report and returns whether it is to be forwarded to other nodes.
    pub fn record(
        &mut self,
        subject: NodeAddress,
        incarnation: NodeIncarnation,
        reporter: NodeAddress,
        zone: &ZoneName,
        now: ClockTime,
    ) -> bool {
        if subject == reporter {
            return false;
        }
        let reports = self.reports.entry(subject).or_default();
        let held = reports
            .iter_mut()
            .find(|report| report.reporter == reporter && report.incarnation == incarnation);
        if let Some(report) = held {
            let forward = now - report.at >= MIN_FORWARD_INTERVAL;
            if forward {
                report.at = now;
            }
            return forward;
        }
        reports.retain(|report| report.reporter != reporter || report.incarnation > incarnation);
        if reports.len() >= MAX_REPORTS {
            return false;
        }
        reports.push(SuspicionReport {
            incarnation,
            reporter,
            zone: zone.clone(),
            at: now,
        });
        true
    }

    /// Removes all reports about a node that was contacted again; returns whether there were any.
    pub fn clear(&mut self, subject: &NodeAddress) -> bool {
        self.reports.remove(subject).is_some()
    }

    /// Returns whether enough nodes report the subject; `zones` is the number of zones of the
    /// fleet.
    #[must_use]
    pub fn is_suspected(
        &self,
        subject: &NodeAddress,
        incarnation: NodeIncarnation,
        zones: usize,
        now: ClockTime,
    ) -> bool {
        let Some(reports) = self.reports.get(subject) else {
            return false;
        };
        let valid = reports.iter().filter(|report| {
            report.incarnation >= incarnation && now - report.at < REPORT_LIFETIME
        });
        let mut reporters = BTreeSet::new();
        let mut reporter_zones = BTreeSet::new();
        for report in valid {
            reporters.insert(report.reporter);
            reporter_zones.insert(&report.zone);
        }
        if zones <= 1 {
            reporters.len() >= MIN_REPORTERS_SINGLE_ZONE
        } else {
            reporters.len() >= MIN_REPORTERS && reporter_zones.len() >= 2
        }
    }

    /// Removes expired reports and returns whether there were any.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let mut expired = false;
        self.reports.retain(|_, reports| {
            let before = reports.len();
            reports.retain(|report| now - report.at < REPORT_LIFETIME);
            expired |= reports.len() < before;
            !reports.is_empty()
        });
        expired
    }
}
