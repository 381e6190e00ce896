//! A simulated registry that can be restored from a copy.

use std::collections::BTreeMap;
use std::ops::Range;

use endivelanding::mesh::{EndpointRecord, EndpointState, HistoryEra, HistoryPosition};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::mesh_records::endpoint;

/// Number of endpoints that may exist at one time.
const ENDPOINT_COUNT: u8 = 20;
/// First endpoint on the second page of the list.
const SECOND_PAGE_START: u8 = 10;
/// Maximum number of changes that a restore loses.
const MAX_LOST_CHANGES: usize = 12;

/// A change in the history of a registry.
#[derive(Debug, Clone)]
pub enum SimulatedChange {
    Config(u64),
    Endpoint(EndpointRecord),
    Removed(u8),
}

/// The result of a read of the registry.
#[derive(Debug, Clone)]
pub struct SimulatedRead {
    pub position: HistoryPosition,
    /// Position of the last page.
    pub last_position: HistoryPosition,
    pub changes: Vec<SimulatedChange>,
}

/// A registry, and what the operator and the endpoints have written, which a restore loses in part
/// and which is then written again.
#[derive(Default)]
pub struct SimulatedRegistry {
    era: u64,
    /// The revision of a change is its index plus one.
    changes: Vec<SimulatedChange>,
    listed: BTreeMap<u8, EndpointRecord>,
    version: u64,
    living: BTreeMap<u8, EndpointRecord>,
    published_version: u64,
    starts: u64,
    /// Whether the list of endpoints has two pages, which are read one after the other.
    pub has_pages: bool,
}

impl SimulatedRegistry {
    pub fn position(&self) -> HistoryPosition {
        HistoryPosition {
            era: HistoryEra(self.era),
            revision: self.changes.len() as u64,
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn listed(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.listed.values()
    }

    /// Returns true if the incarnation of the endpoint has not left.
    pub fn is_living(&self, record: &EndpointRecord) -> bool {
        let mut living = self.living.values();
        living.any(|other| other.id == record.id && other.born == record.born)
    }

    /// Starts, drains or ends an endpoint, or publishes a configuration.
    pub fn change(&mut self, random: &mut StdRng) {
        let index = random.random_range(0..=ENDPOINT_COUNT);
        if index == ENDPOINT_COUNT {
            self.published_version += 1;
            self.write(SimulatedChange::Config(self.published_version));
            return;
        }
        let Some(living) = self.living.get_mut(&index) else {
            self.starts += 1;
            let started = endpoint(&format!("i-{index}"), index, self.starts, 1);
            self.living.insert(index, started.clone());
            self.write(SimulatedChange::Endpoint(started));
            return;
        };
        let kind = match living.state {
            EndpointState::Ready => random.random_range(0..3),
            EndpointState::Draining => 2,
        };
        living.sequence += 1;
        match kind {
            0 => living.capacity += 1,
            1 => living.state = EndpointState::Draining,
            _ => {
                self.living.remove(&index);
                self.write(SimulatedChange::Removed(index));
                return;
            }
        }
        let written = living.clone();
        self.write(SimulatedChange::Endpoint(written));
    }

    /// Goes back to a copy. Its era rises, and revisions are assigned again.
    pub fn restore(&mut self, random: &mut StdRng) {
        let lost = random.random_range(0..=MAX_LOST_CHANGES.min(self.changes.len()));
        let kept = self.changes.len() - lost;
        let changes: Vec<SimulatedChange> = self.changes.drain(..).take(kept).collect();
        self.listed.clear();
        self.version = 0;
        for change in changes {
            self.write(change);
        }
        self.era += 1;
    }

    /// Writes one of the changes again that a restore lost; returns false if there is none.
    pub fn write_again(&mut self, random: &mut StdRng) -> bool {
        let lost = (0..ENDPOINT_COUNT).filter(|index| {
            let written = self.listed.get(index);
            written != self.living.get(index)
        });
        let is_config_lost = self.version != self.published_version;
        let lost = lost.chain(is_config_lost.then_some(ENDPOINT_COUNT));
        let Some(index) = lost.choose(random) else {
            return false;
        };
        if index == ENDPOINT_COUNT {
            self.write(SimulatedChange::Config(self.published_version));
            return true;
        }
        match self.living.get_mut(&index) {
            Some(living) => {
                living.sequence += random.random_range(1..3);
                let written = living.clone();
                self.write(SimulatedChange::Endpoint(written));
            }
            None => self.write(SimulatedChange::Removed(index)),
        }
        true
    }

    /// Returns the changes after a position, or `None` if the history does not contain it.
    pub fn watch(&self, position: HistoryPosition) -> Option<SimulatedRead> {
        if position.era != self.position().era || position > self.position() {
            return None;
        }
        Some(SimulatedRead {
            position: self.position(),
            last_position: self.position(),
            changes: self.changes[position.revision as usize..].to_vec(),
        })
    }

    /// Returns the first page of the list of endpoints.
    pub fn first_page(&self) -> SimulatedRead {
        let end = match self.has_pages {
            true => SECOND_PAGE_START,
            false => ENDPOINT_COUNT,
        };
        self.page(0..end)
    }

    /// Returns the second page of the list of endpoints, if it has more than one.
    pub fn second_page(&self) -> Option<SimulatedRead> {
        let page = || self.page(SECOND_PAGE_START..ENDPOINT_COUNT);
        self.has_pages.then(page)
    }

    fn page(&self, indexes: Range<u8>) -> SimulatedRead {
        let listed = self.listed.range(indexes);
        SimulatedRead {
            position: self.position(),
            last_position: self.position(),
            changes: listed
                .map(|(_, record)| SimulatedChange::Endpoint(record.clone()))
                .collect(),
        }
    }

    fn write(&mut self, change: SimulatedChange) {
        match &change {
            SimulatedChange::Config(version) => self.version = *version,
            SimulatedChange::Endpoint(record) => {
                let index = index_of(record);
                self.listed.insert(index, record.clone());
            }
            SimulatedChange::Removed(index) => {
                self.listed.remove(index);
            }
        }
        self.changes.push(change);
    }
}

fn index_of(record: &EndpointRecord) -> u8 {
    let number = record.id.as_str().strip_prefix("i-");
    let index = number.and_then(|number| number.parse().ok());
    index.expect("an identifier of the simulation")
}
