use std::collections::HashMap;

use rand::{Rng, RngCore};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RegionName, RequestKey, ZoneName};
use crate::membership::MemberState;
use crate::routing::rendezvous_hash;
use crate::routing::{
    CallCompletion, CompletionStatus, EndpointChoice, EndpointEntry, EndpointPolicy, EndpointScore,
    EndpointTier, KeyOwner, OutlierDetector,
};
use crate::status::EndpointView;

/// Load per slot up to which a tier has capacity left.
const MAX_TIER_LOAD: f64 = 0.8;
/// Load per slot from which the region has no capacity left and other regions are considered.
const MAX_REGION_LOAD: f64 = 1.0;
/// Slowness above which an endpoint does not count towards the capacity of its zone. Without this
/// limit, a node in a zone with a single slow endpoint never calls others, and outlier detection
/// has no latencies to compare.
const MAX_ZONE_SLOWNESS: f64 = 2.0;
/// Latency relative to the median of the other endpoints above which an endpoint is ejected.
const OUTLIER_RATIO: f64 = 5.0;
/// Minimum excess over the median for an ejection; smaller differences are noise.
const MIN_OUTLIER_EXCESS_MS: f64 = 10.0;
/// Number of samples before the latency of an endpoint is compared.
const MIN_OUTLIER_SAMPLES: u32 = 5;
/// Mean latency assumed for a kind without samples.
const DEFAULT_MEAN_MS: f64 = 50.0;
/// Weight of a new sample in the moving average of a kind's latency.
const MEAN_WEIGHT: f64 = 0.05;
/// Minimum mean latency; the ratios of shorter latencies are noise.
const MIN_MEAN_MS: f64 = 1.0;

/// An endpoint with its statistics.
#[derive(Debug)]
struct TableRow {
    entry: EndpointEntry,
    tier: EndpointTier,
    score: EndpointScore,
    detector: OutlierDetector,
}

/// Policy that chooses endpoints of one service by load, latency, locality and outlier detection.
#[derive(Debug)]
pub struct EndpointTable {
    zone: ZoneName,
    region: RegionName,
    rows: Vec<TableRow>,
    means: HashMap<KindName, f64>,
    initialized: bool,
}

impl EndpointTable {
    /// Creates an empty table for a node in the given zone and region.
    #[must_use]
    pub fn new(zone: ZoneName, region: RegionName) -> Self {
        Self {
            zone,
            region,
            rows: Vec::new(),
            means: HashMap::new(),
            initialized: false,
        }
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: ClockTime, address: NodeAddress) -> bool {
        self.rows
            .iter()
            .any(|row| row.entry.address == address && row.detector.is_ejected(now))
    }

    fn tier_of(&self, entry: &EndpointEntry) -> EndpointTier {
        if entry.region != self.region {
            EndpointTier::CrossRegion
        } else if entry.zone != self.zone {
            EndpointTier::Region
        } else {
            EndpointTier::Zone
        }
    }

    /// Returns the rows of the best non-empty class: healthy, then suspected or ejected.
    ///
    /// Leaving endpoints are used only if no live one is known. A resend that excludes all live
    /// endpoints therefore does not send new work to leaving ones.
    fn usable(&self, now: ClockTime, exclude: &[NodeAddress]) -> SmallVec<[&TableRow; 16]> {
        self.best_class(exclude, |row| row.detector.admits(now), now)
    }

    /// Returns the rows of the best class; `admits` tells whether an endpoint counts as healthy.
    fn best_class<Admits>(
        &self,
        exclude: &[NodeAddress],
        admits: Admits,
        now: ClockTime,
    ) -> SmallVec<[&TableRow; 16]>
    where
        Admits: Fn(&TableRow) -> bool,
    {
        let live = |row: &&TableRow| row.entry.state == MemberState::Live;
        let ejected = self.rows.iter().filter(live);
        let ejected = ejected.filter(|row| row.detector.is_ejected(now)).count();
        // If more than half are ejected, the cause is probably not the endpoints, and the others
        // would be overloaded.
        let ignore_ejections = ejected * 2 > self.rows.iter().filter(live).count();
        let class = |row: &TableRow| match row.entry.state {
            MemberState::Live if row.entry.suspected => 1,
            MemberState::Live if ignore_ejections || admits(row) => 0,
            MemberState::Live => 1,
            MemberState::Leaving | MemberState::Gone => 2,
        };
        let any_live = self.rows.iter().any(|row| live(&row));
        let rows = self.rows.iter();
        let rows: SmallVec<[&TableRow; 16]> = rows
            .filter(|row| live(row) || !any_live)
            .filter(|row| !exclude.contains(&row.entry.address))
            .collect();
        let best = rows.iter().map(|row| class(row)).min();
        rows.into_iter()
            .filter(|row| Some(class(row)) == best)
            .collect()
    }

    /// Returns the farthest tier that a call may use.
    fn farthest_tier(now: ClockTime, rows: &[&TableRow]) -> EndpointTier {
        let least_load = |tier: EndpointTier, max_slowness: f64| {
            let rows = rows.iter().filter(|row| row.tier <= tier);
            let rows = rows.filter(|row| row.score.sampled_slowness(now) <= max_slowness);
            rows.map(|row| row.score.utilization(now, slots_of(&row.entry)))
                .fold(f64::INFINITY, f64::min)
        };
        let zone = least_load(EndpointTier::Zone, MAX_ZONE_SLOWNESS);
        let region = least_load(EndpointTier::Region, f64::INFINITY);
        if zone <= MAX_TIER_LOAD {
            EndpointTier::Zone
        } else if region < MAX_REGION_LOAD {
            EndpointTier::Region
        } else if region.is_infinite()
            || least_load(EndpointTier::CrossRegion, f64::INFINITY) <= MAX_TIER_LOAD
        {
            EndpointTier::CrossRegion
        } else {
            // No tier has capacity left, so calls to another region would only add cost.
            EndpointTier::Region
        }
    }

    fn mean_of(&self, kind: &KindName) -> f64 {
        self.means.get(kind).copied().unwrap_or(DEFAULT_MEAN_MS)
    }

    /// Returns whether the latency of a row is an outlier compared with the other rows.
    fn is_outlier(&self, now: ClockTime, index: usize) -> bool {
        if self.rows[index].score.samples() < MIN_OUTLIER_SAMPLES {
            return false;
        }
        let fastest = self.means.values().copied().fold(f64::INFINITY, f64::min);
        let own = self.rows[index].score.sampled_slowness(now) * fastest;
        let others = self.rows.iter().enumerate();
        let mut others: SmallVec<[f64; 16]> = others
            .filter(|(other, row)| *other != index && row.score.samples() > 0)
            .map(|(_, row)| row.score.sampled_slowness(now) * fastest)
            .collect();
        others.sort_by(f64::total_cmp);
        others.get(others.len() / 2).is_some_and(|median| {
            own > median * OUTLIER_RATIO && own > median + MIN_OUTLIER_EXCESS_MS
        })
    }

    fn index_of(&self, address: NodeAddress) -> Option<usize> {
        self.rows
            .iter()
            .position(|row| row.entry.address == address)
    }
}

fn slots_of(entry: &EndpointEntry) -> f64 {
    f64::from(entry.slots.0.max(1))
}

impl EndpointPolicy for EndpointTable {
    fn update(&mut self, now: ClockTime, entries: &[EndpointEntry]) {
        let mut old = std::mem::take(&mut self.rows);
        for entry in entries {
            if entry.state == MemberState::Gone {
                continue;
            }
            let kept = old.iter().position(|row| {
                let (old, new) = (row.entry.incarnation, entry.incarnation);
                let same = old == new || old.0 == 0 || new.0 == 0;
                row.entry.address == entry.address && same
            });
            let tier = self.tier_of(entry);
            let (score, detector) = if let Some(index) = kept {
                let row = old.swap_remove(index);
                (row.score, row.detector)
            } else {
                // The endpoints of the first update are not new; only this node is.
                let score = EndpointScore::new(now, self.initialized.then_some(now));
                (score, OutlierDetector::default())
            };
            self.rows.push(TableRow {
                entry: entry.clone(),
                tier,
                score,
                detector,
            });
        }
        self.initialized |= !entries.is_empty();
    }

    fn choose(
        &mut self,
        now: ClockTime,
        rng: &mut dyn RngCore,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice> {
        let mut rows = self.usable(now, exclude);
        let farthest = Self::farthest_tier(now, &rows);
        rows.retain(|row| row.tier <= farthest);
        if rows.is_empty() {
            return None;
        }
        let first = rng.random_range(0..rows.len());
        let mut row = rows[first];
        if rows.len() > 1 {
            let second = (first + rng.random_range(1..rows.len())) % rows.len();
            let cost = |row: &TableRow| {
                row.score
                    .cost(now, slots_of(&row.entry), |kind| self.mean_of(kind))
            };
            if cost(rows[second]) < cost(row) {
                row = rows[second];
            }
        }
        Some(EndpointChoice {
            address: row.entry.address,
            tier: row.tier,
        })
    }

    fn choose_by_hash(
        &self,
        now: ClockTime,
        key: &RequestKey,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice> {
        // Each node ejects endpoints by what it has seen itself, and two attempts with one key must
        // reach the same endpoint.
        let rows = self.best_class(exclude, |_| true, now);
        let row = rows
            .into_iter()
            .max_by_key(|row| rendezvous_hash::weight(key, row.entry.address))?;
        Some(EndpointChoice {
            address: row.entry.address,
            tier: row.tier,
        })
    }

    fn owner(&self, key: &RequestKey, exclude: &[NodeAddress]) -> Option<KeyOwner> {
        let rows = self.rows.iter();
        rows.filter(|row| !exclude.contains(&row.entry.address))
            .max_by_key(|row| rendezvous_hash::weight(key, row.entry.address))
            .map(|row| KeyOwner {
                address: row.entry.address,
                suspected: row.entry.suspected,
            })
    }

    fn call_started(&mut self, now: ClockTime, address: NodeAddress, kind: &KindName) {
        if let Some(index) = self.index_of(address) {
            self.rows[index].score.record_start(now, kind);
            self.rows[index].detector.record_start(now);
        }
    }

    fn explain(&self, now: ClockTime) -> Vec<EndpointView> {
        self.rows
            .iter()
            .map(|row| {
                let state = if row.detector.is_ejected(now) {
                    "ejected"
                } else if row.entry.suspected {
                    "suspected"
                } else if row.entry.state == MemberState::Leaving {
                    "leaving"
                } else {
                    "live"
                };
                let slowness = row.score.slowness(now, |kind| self.mean_of(kind));
                EndpointView {
                    address: row.entry.address,
                    zone: Some(row.entry.zone.clone()),
                    state: state.to_owned(),
                    in_flight: row.score.in_flight() as u32,
                    load: (row.score.reported_load(now) * 1_000.0) as u32,
                    slowness,
                }
            })
            .collect()
    }

    fn call_finished(&mut self, now: ClockTime, completion: &CallCompletion) {
        let Some(index) = self.index_of(completion.address) else {
            return;
        };
        let latency = completion.latency_ms.max(0.0);
        if completion.status == CompletionStatus::Responded {
            let mean = self.means.entry(completion.kind.clone()).or_insert(latency);
            *mean = (*mean + (latency - *mean) * MEAN_WEIGHT).max(MIN_MEAN_MS);
        }
        let ratio = latency / self.mean_of(&completion.kind);
        let row = &mut self.rows[index];
        row.score.record_end(completion.started, &completion.kind);
        if let Some(load) = completion.load {
            row.score.record_load(now, load);
        }
        match completion.status {
            CompletionStatus::Responded => {
                if row.detector.record_success(completion.started) {
                    row.score.reset_samples();
                }
                row.score.record_latency(now, ratio);
                if !self.rows[index].detector.is_ejected(now) && self.is_outlier(now, index) {
                    self.rows[index].detector.eject(now);
                }
            }
            CompletionStatus::Failed => {
                row.score.record_latency_bound(now, ratio);
                row.detector.record_failure(now, completion.started);
            }
            CompletionStatus::Refused => row.detector.release_probe(completion.started),
            CompletionStatus::Cancelled => {
                row.score.record_latency_bound(now, ratio);
                row.detector.release_probe(completion.started);
            }
        }
    }
}
