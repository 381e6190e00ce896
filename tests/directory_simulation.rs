//! Simulation of directories that follow the registry and each other.

#[path = "support/mesh_records.rs"]
mod mesh_records;

use std::collections::{BTreeSet, HashMap, HashSet};

use endivelanding::clock::ClockTime;
use endivelanding::id::EndpointId;
use endivelanding::mesh::{HistoryPosition, ServiceDirectory};
use mesh_records::{endpoint, name};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The published endpoints of a simulated registry, and the changes that led to them.
#[derive(Default)]
struct SimulatedRegistry {
    /// The position of a change is its index plus one.
    changes: Vec<(u8, bool)>,
    listed: HashSet<u8>,
}

impl SimulatedRegistry {
    fn change(&mut self, random: &mut StdRng) {
        let index = random.random_range(0..20);
        let is_added = self.listed.insert(index);
        if !is_added {
            self.listed.remove(&index);
        }
        self.changes.push((index, is_added));
    }

    fn position(&self) -> HistoryPosition {
        HistoryPosition {
            revision: self.changes.len() as u64,
            ..HistoryPosition::default()
        }
    }

    /// Applies the changes after the position of the directory, as a watch reports them.
    fn watch(&self, directory: &mut ServiceDirectory) {
        let start = directory.position().revision;
        for (offset, (index, is_added)) in self.changes[start as usize..].iter().enumerate() {
            apply(directory, *index, start + offset as u64 + 1, *is_added);
        }
        directory.advance(self.position());
    }

    /// Reads all endpoints. The configuration is received from a node at an earlier position.
    fn read_all(&self, directory: &mut ServiceDirectory, random: &mut StdRng) {
        let listed: HashSet<EndpointId> = self.listed.iter().map(|index| id(*index)).collect();
        directory.retain(ClockTime(0), &listed);
        for index in &self.listed {
            let change = self.changes.iter().rposition(|(other, _)| other == index);
            let born = change.expect("a listed endpoint was added") as u64 + 1;
            directory.upsert(ClockTime(0), endpoint(id(*index).as_str(), *index, born, 1));
        }
        directory.record_full_listing(self.position());
        let revisions = directory.position().revision..=self.position().revision;
        directory.advance(HistoryPosition {
            revision: random.random_range(revisions),
            ..HistoryPosition::default()
        });
    }
}

fn id(index: u8) -> EndpointId {
    name(&format!("i-{index}"))
}

fn apply(directory: &mut ServiceDirectory, index: u8, position: u64, is_added: bool) {
    if is_added {
        directory.upsert(
            ClockTime(0),
            endpoint(id(index).as_str(), index, position, 1),
        );
    } else {
        directory.remove(ClockTime(0), &id(index));
    }
}

/// Applies the changes that one directory has and the other one lacks. `cursor` is the last state of
/// the source that was received.
fn follow(directory: &mut ServiceDirectory, source: &ServiceDirectory, cursor: &mut Option<u64>) {
    let is_older = source.position() < directory.position()
        || source.listed_position() < directory.listed_position();
    if is_older {
        return;
    }
    let since = source.generation_at(directory.listed_position());
    let delta = source.delta(since.max(*cursor));
    *cursor = Some(source.generation());
    let mut listed = HashSet::new();
    for (record, _) in delta.present {
        listed.insert(record.id.clone());
        directory.upsert(ClockTime(0), record.as_ref().clone());
    }
    if delta.is_snapshot {
        directory.retain(ClockTime(0), &listed);
    }
    for removed in delta.removed {
        directory.remove_immediately(&removed);
    }
    if delta.is_snapshot {
        directory.record_full_listing(source.listed_position());
    }
    directory.record_listing(source.listed_position());
    directory.advance(source.position());
}

/// Plays directories that follow the registry and each other in random order: those that reflect the
/// same position must list the same endpoints.
#[test]
fn directories_at_one_position_list_the_same_endpoints() {
    let mut compared = 0;
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut registry = SimulatedRegistry::default();
        let mut directories: Vec<ServiceDirectory> =
            (0..5).map(|_| ServiceDirectory::new()).collect();
        let mut cursors: HashMap<(usize, usize), Option<u64>> = HashMap::new();
        for _ in 0..300 {
            let index = random.random_range(0..directories.len());
            match random.random_range(0..10) {
                0..4 => registry.change(&mut random),
                4 => registry.watch(&mut directories[index]),
                5 => registry.read_all(&mut directories[index], &mut random),
                6 => {
                    directories[index] = ServiceDirectory::new();
                    cursors.retain(|(first, second), _| *first != index && *second != index);
                }
                _ => {
                    let mut directory = std::mem::take(&mut directories[index]);
                    let source = random.random_range(0..directories.len());
                    if source != index {
                        let cursor = cursors.entry((index, source)).or_default();
                        follow(&mut directory, &directories[source], cursor);
                    }
                    directories[index] = directory;
                }
            }
            let directory = &directories[index];
            let head = registry.position();
            if directory.listed_position() == head {
                let expected: BTreeSet<EndpointId> =
                    registry.listed.iter().map(|index| id(*index)).collect();
                let listed: BTreeSet<EndpointId> = directory
                    .records()
                    .map(|record| record.id.clone())
                    .collect();
                assert_eq!(listed, expected, "seed {seed}, position {head}");
                compared += 1;
            }
        }
    }
    assert!(compared > 1_000, "{compared}");
}
