//! Simulation of directories that follow the registry and each other.

#[path = "support/mesh_records.rs"]
mod mesh_records;
#[path = "support/simulated_follower.rs"]
mod simulated_follower;
#[path = "support/simulated_registry.rs"]
mod simulated_registry;

use std::collections::{BTreeMap, HashMap};

use endivelanding::clock::ClockTime;
use endivelanding::id::EndpointId;
use endivelanding::mesh::{EndpointRecord, EndpointState, HistoryEra};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use simulated_follower::{REREGISTRATION_WINDOW, SimulatedFollower};
use simulated_registry::SimulatedRegistry;

const SEED_COUNT: u64 = 200;
const NODE_COUNT: usize = 5;
const STEP_COUNT: u32 = 1_500;
/// Longest time between two steps, in milliseconds.
const MAX_STEP_MS: u64 = 40;

/// Nodes that follow a registry and each other in random order.
struct DirectorySimulation {
    random: StdRng,
    now: ClockTime,
    registry: SimulatedRegistry,
    nodes: Vec<SimulatedFollower>,
    next_process: u64,
    /// Incarnations that have left and that each node has removed, with their last known sequence.
    removed: Vec<HashMap<(EndpointId, u64), u64>>,
    /// Number of comparisons with the list of the registry, and of those after a restore.
    compared: usize,
    compared_restored: usize,
    description: String,
}

impl DirectorySimulation {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now: ClockTime(10_000),
            registry: SimulatedRegistry::default(),
            nodes: (0..NODE_COUNT as u64).map(SimulatedFollower::new).collect(),
            next_process: NODE_COUNT as u64,
            removed: vec![HashMap::new(); NODE_COUNT],
            compared: 0,
            compared_restored: 0,
            description: format!("seed {seed}"),
        }
    }

    fn step(&mut self, has_restores: bool) {
        self.now = self.now + ClockTime(self.random.random_range(0..MAX_STEP_MS));
        let index = self.random.random_range(0..NODE_COUNT);
        match self.random.random_range(0..100) {
            0..10 => self.registry.change(&mut self.random),
            10..15 => {
                self.registry.write_again(&mut self.random);
            }
            15 if has_restores => {
                for _ in 0..self.random.random_range(1..3) {
                    self.registry.restore(&mut self.random);
                }
            }
            16 => {
                self.nodes[index] = SimulatedFollower::new(self.next_process);
                self.next_process += 1;
                self.removed[index].clear();
            }
            _ => self.step_node(index),
        }
        self.check(index);
    }

    fn step_node(&mut self, index: usize) {
        let number = self.random.random_range(0..NODE_COUNT);
        match self.random.random_range(0..10) {
            0..3 => self.nodes[index].step_registry(self.now, &self.registry),
            3..5 if number != index => self.nodes[index].request_view(number),
            _ => {
                let mut node = std::mem::replace(&mut self.nodes[index], SimulatedFollower::new(0));
                if let Some(query) = node.take_query(number) {
                    node.step_query(self.now, &self.nodes[query.source], query);
                }
                self.nodes[index] = node;
            }
        }
        self.nodes[index].directory.expire(self.now);
    }

    fn check(&mut self, index: usize) {
        let node = &self.nodes[index];
        let directory = &node.directory;
        let head = self.registry.position();
        let context = format!("{}, node {index}, head {head}", self.description);
        for record in directory.records() {
            let is_used = record.state == EndpointState::Ready;
            let removed = self.removed[index].get(&(record.id.clone(), record.born));
            let was_removed = removed.is_some_and(|sequence| record.sequence <= *sequence);
            assert!(
                !(is_used && was_removed) || self.registry.is_living(record),
                "{context}: {record:?} left, was removed and is used again"
            );
        }
        if directory.position() == head {
            let version = self.registry.version();
            assert!(
                node.version >= version,
                "{context}: configuration {} instead of {version}",
                node.version
            );
        }
        if directory.listed_position() != head {
            return;
        }
        self.compared += 1;
        self.compared_restored += usize::from(head.era > HistoryEra(0));
        let mut present: BTreeMap<EndpointId, bool> = directory
            .delta(None)
            .present
            .into_iter()
            .map(|(record, is_missing)| (record.id.clone(), is_missing))
            .collect();
        for record in self.registry.listed() {
            // The copy may list an endpoint that left later, or an earlier state of one.
            let is_known_newer = directory
                .record(&record.id)
                .is_some_and(|known| record.is_older_than(known));
            let is_listed = match present.remove(&record.id) {
                None => false,
                Some(is_missing) => !is_missing || is_known_newer,
            };
            let is_listed = is_listed || !self.registry.is_living(record);
            assert!(is_listed, "{context}: {record:?} is not listed");
        }
        present.retain(|_, is_missing| !*is_missing);
        assert!(present.is_empty(), "{context}: {present:?} is listed");
    }

    /// Records the incarnations that have left and that the nodes have removed.
    fn record_removed(&mut self, known: &[Vec<EndpointRecord>]) {
        for (index, known) in known.iter().enumerate() {
            let directory = &self.nodes[index].directory;
            for record in known {
                let is_listed = directory
                    .record(&record.id)
                    .is_some_and(|listed| listed.born == record.born);
                if !is_listed && directory.is_gone(&record.id) && !self.registry.is_living(record) {
                    let incarnation = (record.id.clone(), record.born);
                    self.removed[index].insert(incarnation, record.sequence);
                }
            }
        }
    }

    fn known(&self) -> Vec<Vec<EndpointRecord>> {
        let nodes = self.nodes.iter();
        nodes
            .map(|node| {
                let records = node.directory.records();
                records.map(|record| record.as_ref().clone()).collect()
            })
            .collect()
    }

    fn play(&mut self, has_restores: bool) {
        for _ in 0..STEP_COUNT {
            let known = self.known();
            self.step(has_restores);
            self.record_removed(&known);
        }
    }

    /// Writes everything again, lets all nodes synchronize until every window is over, and checks
    /// that they list the endpoints of the registry.
    fn check_convergence(&mut self) {
        while self.registry.write_again(&mut self.random) {}
        let end = self.now + ClockTime(REREGISTRATION_WINDOW.0 * 3);
        while self.now < end {
            self.now = self.now + ClockTime(self.random.random_range(0..MAX_STEP_MS));
            let index = self.random.random_range(0..NODE_COUNT);
            let known = self.known();
            self.step_node(index);
            self.record_removed(&known);
            self.check(index);
        }
        let expected: Vec<&EndpointRecord> = self.registry.listed().collect();
        // A record that differs only in its sequence is no change that nodes pass on.
        let is_expected = |record: &EndpointRecord| {
            expected.iter().any(|other| {
                let sequence = record.sequence;
                *record
                    == EndpointRecord {
                        sequence,
                        ..(*other).clone()
                    }
            })
        };
        for (index, node) in self.nodes.iter().enumerate() {
            let present = node.directory.delta(None).present;
            for (record, is_missing) in &present {
                assert!(
                    !is_missing && is_expected(record),
                    "{}, node {index}: {record:?} is listed, missing: {is_missing}",
                    self.description
                );
            }
            for record in &expected {
                let known = node.directory.record(&record.id);
                assert!(
                    known.is_some(),
                    "{}, node {index}: {record:?} is not listed",
                    self.description
                );
            }
            assert_eq!(
                node.version,
                self.registry.version(),
                "{}, node {index}",
                self.description
            );
        }
    }
}

/// Plays nodes that follow the registry and each other in random order: those that reflect the
/// latest position must list the same endpoints.
#[test]
fn directories_at_one_position_list_the_same_endpoints() {
    let mut compared = 0;
    for seed in 0..SEED_COUNT {
        let mut simulation = DirectorySimulation::new(seed);
        simulation.play(false);
        simulation.check_convergence();
        compared += simulation.compared;
    }
    assert!(compared > 10_000, "{compared}");
}

/// Plays the same with restores of the registry between any two messages.
#[test]
fn directories_agree_after_the_registry_is_restored_from_a_copy() {
    let mut compared = 0;
    for seed in 0..SEED_COUNT {
        let mut simulation = DirectorySimulation::new(seed);
        simulation.play(true);
        simulation.check_convergence();
        compared += simulation.compared_restored;
    }
    assert!(compared > 10_000, "{compared}");
}

/// Plays nodes that read the list of endpoints in two pages, between which it changes.
#[test]
fn directories_agree_when_the_pages_of_a_list_are_no_snapshot() {
    for seed in 0..SEED_COUNT {
        let mut simulation = DirectorySimulation::new(seed);
        simulation.registry.has_pages = true;
        simulation.play(false);
        simulation.check_convergence();
    }
}

#[test]
fn directories_agree_when_a_restore_falls_between_the_pages_of_a_list() {
    for seed in 0..SEED_COUNT {
        let mut simulation = DirectorySimulation::new(seed);
        simulation.registry.has_pages = true;
        simulation.play(true);
        simulation.check_convergence();
    }
}
