//! Tests of fleets whose readers are turned away by the store: every view must stay within the
//! propagation bound, and the reads within the rate of the registry.

#[path = "support/simulated_fleet.rs"]
mod simulated_fleet;

use endivelanding::clock::ClockTime;
use rand::Rng;
use simulated_fleet::{INTERVAL, SimulatedFleet};

/// Propagation bound of the configuration.
const BOUND: ClockTime = ClockTime(3_000);

/// Plays the load of a fleet that the store turns away in part, with all readers among those nodes:
/// every node must have a view within the propagation bound, and the reads must stay few.
#[test]
fn views_stay_within_the_bound_when_the_store_turns_nodes_away() {
    for seed in 0..10 {
        let mut fleet = SimulatedFleet::new(195, 16_000.0, seed);
        let calm = fleet.run();
        assert!(calm.worst_age < ClockTime(INTERVAL.0 * 2), "calm: {calm:?}");
        // One reader of each region, once in an interval, for 12 s.
        assert!(calm.registry_reads <= 2 * 17, "calm: {calm:?}");
        for node in &mut fleet.nodes {
            node.is_turned_away =
                node.is_reader || node.is_standby || fleet.random.random_bool(0.4);
        }
        let partial = fleet.run();
        assert!(partial.worst_age < BOUND, "seed {seed}: {partial:?}");
        assert!(partial.registry_reads < 2_000, "seed {seed}: {partial:?}");
    }
}

/// Plays the same load on small fleets without any other traffic, in which nodes learn only from
/// those that ask them and from the few that they ask.
#[test]
fn views_of_a_fleet_without_traffic_stay_within_the_bound() {
    for seed in 0..300 {
        let mut fleet = SimulatedFleet::new(16, 16_000.0, seed);
        fleet.has_traffic = false;
        fleet.run();
        for node in &mut fleet.nodes {
            node.is_turned_away =
                node.is_reader || node.is_standby || fleet.random.random_bool(0.4);
        }
        let partial = fleet.run();
        assert!(partial.worst_age < BOUND, "seed {seed}: {partial:?}");
    }
}

/// The same for the size that the design is made for, whose registry allows 2,000 reads a second.
#[test]
fn views_of_5500_nodes_stay_within_the_bound_and_the_rate_of_the_registry() {
    let mut fleet = SimulatedFleet::new(5_500, 2_000.0, 7);
    for node in &mut fleet.nodes {
        node.is_turned_away = node.is_reader || node.is_standby || fleet.random.random_bool(0.4);
    }
    let partial = fleet.run();
    assert!(partial.worst_age < BOUND, "{partial:?}");
    assert!(partial.registry_reads < 12 * 2_000, "{partial:?}");
}

/// Plays restores of the registry, some of them in a fleet that the store turns away in part: every
/// node must have a view of the new era within the propagation bound, and few nodes may read it.
#[test]
fn views_reach_the_era_of_a_restored_registry_within_the_bound() {
    for seed in 0..10 {
        for (size, is_partial) in [(16, false), (195, false), (195, true)] {
            let mut fleet = SimulatedFleet::new(size, 16_000.0, seed);
            fleet.run();
            for node in fleet.nodes.iter_mut().filter(|_| is_partial) {
                node.is_turned_away =
                    node.is_reader || node.is_standby || fleet.random.random_bool(0.4);
            }
            let away = ClockTime(fleet.random.random_range(200..2_000));
            fleet.restore(away, fleet_restore_count(seed));
            let restored = fleet.run();
            let context = format!("seed {seed}, {size} nodes, away {away}: {restored:?}");
            assert!(restored.worst_era_delay < BOUND, "{context}");
            assert!(restored.peak_reads <= 16_000, "{context}");
            if size > 16 && !is_partial {
                assert!(restored.reading_nodes * 4 < fleet.nodes.len(), "{context}");
            }
        }
    }
}

/// The same for the size that the design is made for, whose registry allows 2,000 reads a second.
#[test]
fn views_of_5500_nodes_reach_the_era_of_a_restored_registry_within_the_rate() {
    for seed in 0..2 {
        let mut fleet = SimulatedFleet::new(5_500, 2_000.0, seed);
        fleet.restore(ClockTime(1_000), fleet_restore_count(seed));
        let restored = fleet.run();
        let context = format!("seed {seed}: {restored:?}");
        assert!(restored.worst_era_delay < BOUND, "{context}");
        assert!(restored.peak_reads <= 2_000, "{context}");
        assert!(restored.reading_nodes * 4 < fleet.nodes.len(), "{context}");
    }
}

/// Restores in a row; nodes then see the era rise by more than one.
fn fleet_restore_count(seed: u64) -> u64 {
    1 + seed % 2
}
