use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, NodeIncarnation, ZoneName};

/// Lifetime of one report.
const REPORT_LIFETIME: ClockTime = ClockTime(30_000);
/// Age below which a repeated report is not passed on again.
const REPEAT_AGE: ClockTime = ClockTime(10_000);
/// Reports kept for one subject; more add nothing to three witnesses in two zones.
const MAX_REPORTS: usize = 16;
/// Witnesses needed if the fleet has several zones.
const FLEET_WITNESSES: usize = 3;
/// Witnesses needed if the fleet has one zone.
const ZONE_WITNESSES: usize = 2;

/// Counts which nodes report that another node cannot be reached.
///
/// In a fleet too small for the needed witnesses no subject is ever suspected, and only each
/// node's own observation counts.
#[derive(Debug, Clone, Default)]
pub struct WitnessSet {
    reports: BTreeMap<NodeAddress, SmallVec<[WitnessReport; 4]>>,
}

#[derive(Debug, Clone)]
struct WitnessReport {
    incarnation: NodeIncarnation,
    witness: NodeAddress,
    zone: ZoneName,
    at: ClockTime,
}

impl WitnessSet {
    /// Records a report and returns whether it is news that is to be passed on.
    pub fn report(
        &mut self,
        subject: NodeAddress,
        incarnation: NodeIncarnation,
        witness: NodeAddress,
        zone: &ZoneName,
        now: ClockTime,
    ) -> bool {
        if subject == witness {
            return false;
        }
        let reports = self.reports.entry(subject).or_default();
        let held = reports
            .iter_mut()
            .find(|report| report.witness == witness && report.incarnation == incarnation);
        if let Some(report) = held {
            let news = now - report.at >= REPEAT_AGE;
            if news {
                report.at = now;
            }
            return news;
        }
        reports.retain(|report| report.witness != witness || report.incarnation > incarnation);
        if reports.len() >= MAX_REPORTS {
            return false;
        }
        reports.push(WitnessReport {
            incarnation,
            witness,
            zone: zone.clone(),
            at: now,
        });
        true
    }

    /// Forgets every report about a node, because it was heard again.
    pub fn clear(&mut self, subject: &NodeAddress) -> bool {
        self.reports.remove(subject).is_some()
    }

    /// Returns whether enough witnesses agree; `zones` is the number of zones of the fleet.
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
        let mut witnesses = BTreeSet::new();
        let mut places = BTreeSet::new();
        for report in valid {
            witnesses.insert(report.witness);
            places.insert(&report.zone);
        }
        if zones <= 1 {
            witnesses.len() >= ZONE_WITNESSES
        } else {
            witnesses.len() >= FLEET_WITNESSES && places.len() >= 2
        }
    }

    /// Drops expired reports and returns whether there were any.
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
