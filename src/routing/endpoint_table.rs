use std::collections::HashMap;

use rand::{Rng, RngCore};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RegionName, RequestKey, ZoneName};
use crate::membership::MemberState;
use crate::routing::rendezvous_hash;
use crate::routing::{
    CallCompletion, CompletionStatus, EndpointChoice, EndpointEntry, EndpointPolicy, EndpointScore,
    EndpointTier, OutlierDetector,
};
use crate::status::EndpointView;

/// Load per slot above which a tier counts as having no room.
const ROOM_LIMIT: f64 = 0.8;
/// Load per slot at which the region counts as having nothing left, so that the paid link is used.
const REGION_LIMIT: f64 = 1.0;
/// Slowness above which an endpoint does not count as room of its zone. Without it a node whose zone
/// has one slow endpoint never calls another one, and the outlier gate has nothing to compare with.
const SLOW_LIMIT: f64 = 2.0;
/// Latency relative to the median of the other endpoints that ejects an endpoint.
const OUTLIER_RATIO: f64 = 5.0;
/// Smallest excess over the median that ejects, in ms; below it ratios are noise.
const OUTLIER_FLOOR_MS: f64 = 10.0;
/// Samples of an endpoint before its latency is compared.
const OUTLIER_SAMPLES: u32 = 5;
/// Mean latency that is assumed for a kind without samples, in ms.
const PRIOR_MS: f64 = 50.0;
/// Weight of a new sample in the mean latency of a kind.
const MEAN_WEIGHT: f64 = 0.05;
/// Smallest mean latency, in ms; keeps ratios of sub-millisecond calls from being noise.
const MEAN_FLOOR_MS: f64 = 1.0;

#[derive(Debug)]
struct TableRow {
    entry: EndpointEntry,
    tier: EndpointTier,
    score: EndpointScore,
    gate: OutlierDetector,
}

/// Chooses endpoints of one service by load, latency, distance and outlier state.
#[derive(Debug)]
pub struct EndpointTable {
    zone: ZoneName,
    region: RegionName,
    rows: Vec<TableRow>,
    means: HashMap<KindName, f64>,
    filled: bool,
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
            filled: false,
        }
    }

    /// Returns whether calls are kept from the endpoint at present.
    #[must_use]
    pub fn is_ejected(&self, now: ClockTime, address: NodeAddress) -> bool {
        self.rows
            .iter()
            .any(|row| row.entry.address == address && row.gate.is_ejected(now))
    }

    fn tier_of(&self, entry: &EndpointEntry) -> EndpointTier {
        if entry.region != self.region {
            EndpointTier::PaidLink
        } else if entry.zone != self.zone {
            EndpointTier::Region
        } else {
            EndpointTier::Zone
        }
    }

    /// Returns the rows of the best class that has any: sound, then suspected or ejected.
    ///
    /// Leaving endpoints count only where no live one is known, so that a resend which excludes
    /// all live ones doesn't give them new work.
    fn usable(&self, now: ClockTime, exclude: &[NodeAddress]) -> SmallVec<[&TableRow; 16]> {
        let live = |row: &&TableRow| row.entry.state == MemberState::Live;
        let ejected = self.rows.iter().filter(live);
        let ejected = ejected.filter(|row| row.gate.is_ejected(now)).count();
        // With more than half ejected the fault is likely not theirs, and the rest would drown.
        let open = ejected * 2 > self.rows.iter().filter(live).count();
        let class = |row: &TableRow| match row.entry.state {
            MemberState::Live if row.entry.suspected => 1,
            MemberState::Live if open || row.gate.admits(now) => 0,
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
    fn reach(now: ClockTime, rows: &[&TableRow]) -> EndpointTier {
        let best = |tier: EndpointTier, limit: f64| {
            let rows = rows.iter().filter(|row| row.tier <= tier);
            let rows = rows.filter(|row| row.score.settled(now) <= limit);
            rows.map(|row| row.score.fill(now, slots_of(&row.entry)))
                .fold(f64::INFINITY, f64::min)
        };
        let zone = best(EndpointTier::Zone, SLOW_LIMIT);
        let region = best(EndpointTier::Region, f64::INFINITY);
        if zone <= ROOM_LIMIT {
            EndpointTier::Zone
        } else if region < REGION_LIMIT {
            EndpointTier::Region
        } else if region.is_infinite() || best(EndpointTier::PaidLink, f64::INFINITY) <= ROOM_LIMIT
        {
            EndpointTier::PaidLink
        } else {
            // No tier has room: the paid link would only add cost.
            EndpointTier::Region
        }
    }

    fn mean_of(&self, kind: &KindName) -> f64 {
        self.means.get(kind).copied().unwrap_or(PRIOR_MS)
    }

    /// Returns whether the samples of a row make it an outlier among the others.
    fn is_outlier(&self, now: ClockTime, place: usize) -> bool {
        if self.rows[place].score.samples() < OUTLIER_SAMPLES {
            return false;
        }
        let fastest = self.means.values().copied().fold(f64::INFINITY, f64::min);
        let own = self.rows[place].score.settled(now) * fastest;
        let others = self.rows.iter().enumerate();
        let mut others: SmallVec<[f64; 16]> = others
            .filter(|(index, row)| *index != place && row.score.samples() > 0)
            .map(|(_, row)| row.score.settled(now) * fastest)
            .collect();
        others.sort_by(f64::total_cmp);
        others
            .get(others.len() / 2)
            .is_some_and(|median| own > median * OUTLIER_RATIO && own > median + OUTLIER_FLOOR_MS)
    }

    fn place_of(&self, address: NodeAddress) -> Option<usize> {
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
                let (was, is) = (row.entry.incarnation, entry.incarnation);
                let same = was == is || was.0 == 0 || is.0 == 0;
                row.entry.address == entry.address && same
            });
            let tier = self.tier_of(entry);
            let (score, gate) = if let Some(place) = kept {
                let row = old.swap_remove(place);
                (row.score, row.gate)
            } else {
                // Endpoints of the first list are not new, only this node is.
                let score = EndpointScore::new(now, self.filled.then_some(now));
                (score, OutlierDetector::default())
            };
            self.rows.push(TableRow {
                entry: entry.clone(),
                tier,
                score,
                gate,
            });
        }
        self.filled |= !entries.is_empty();
    }

    fn choose(
        &mut self,
        now: ClockTime,
        rng: &mut dyn RngCore,
        exclude: &[NodeAddress],
    ) -> Option<EndpointChoice> {
        let mut rows = self.usable(now, exclude);
        let reach = Self::reach(now, &rows);
        rows.retain(|row| row.tier <= reach);
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
        let rows = self.usable(now, exclude);
        let row = rows
            .into_iter()
            .max_by_key(|row| rendezvous_hash::weigh(key, row.entry.address))?;
        Some(EndpointChoice {
            address: row.entry.address,
            tier: row.tier,
        })
    }

    fn call_started(&mut self, now: ClockTime, address: NodeAddress, kind: &KindName) {
        if let Some(place) = self.place_of(address) {
            self.rows[place].score.start(now, kind);
            self.rows[place].gate.start(now);
        }
    }

    fn explain(&self, now: ClockTime) -> Vec<EndpointView> {
        self.rows
            .iter()
            .map(|row| {
                let state = if row.gate.is_ejected(now) {
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
                    load: (row.score.carried(now) * 1_000.0) as u32,
                    slowness,
                }
            })
            .collect()
    }

    fn call_finished(&mut self, now: ClockTime, finish: &CallCompletion) {
        let Some(place) = self.place_of(finish.address) else {
            return;
        };
        let latency = finish.latency_ms.max(0.0);
        if finish.status == CompletionStatus::Answered {
            let mean = self.means.entry(finish.kind.clone()).or_insert(latency);
            *mean = (*mean + (latency - *mean) * MEAN_WEIGHT).max(MEAN_FLOOR_MS);
        }
        let ratio = latency / self.mean_of(&finish.kind);
        let row = &mut self.rows[place];
        row.score.end(finish.started, &finish.kind);
        if let Some(load) = finish.load {
            row.score.carry(now, load);
        }
        match finish.status {
            CompletionStatus::Answered => {
                if row.gate.succeed(finish.started) {
                    row.score.reset_samples();
                }
                row.score.sample(now, ratio);
                if !self.rows[place].gate.is_ejected(now) && self.is_outlier(now, place) {
                    self.rows[place].gate.eject(now);
                }
            }
            CompletionStatus::Failed => {
                row.score.sample_bound(now, ratio);
                row.gate.fail(now, finish.started);
            }
            CompletionStatus::Refused => row.gate.release(finish.started),
            CompletionStatus::Cancelled => {
                row.score.sample_bound(now, ratio);
                row.gate.release(finish.started);
            }
        }
    }
}
