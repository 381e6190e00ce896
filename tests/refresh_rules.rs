//! Tests of where a node looks for a fresher view of the mesh, in fleets whose readers fail.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use endivelanding::clock::ClockTime;
use endivelanding::id::{RegionName, ZoneName};
use endivelanding::mesh::{EndpointRecord, EndpointState, ServiceDirectory};
use endivelanding::sidecar::{
    FreshPeers, PlannedSource, ReaderState, RefreshPlan, RefreshState, ViewSource, ViewTree,
    earliest_read_time, plan_refresh, refresh_limit,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Refresh interval for a propagation bound of 3 s.
const INTERVAL: ClockTime = ClockTime(750);
const BOUND: ClockTime = ClockTime(3_000);

fn node(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number))
}

fn state(parents: &[IpAddr]) -> RefreshState<'_> {
    RefreshState {
        age: Some(ClockTime(100)),
        interval: INTERVAL,
        reads_registry: false,
        is_standby: false,
        lacks_config: false,
        parents,
        introduced: &[],
        limit: ClockTime(2_500),
        fleet_size: 200,
        registry_rate: 16_000.0,
        region_size: 100,
        spread: 0.0,
        chance: 0.5,
    }
}

fn sources(plan: &RefreshPlan) -> Vec<(ViewSource, u64)> {
    plan.iter()
        .filter(|planned| planned.source != ViewSource::FreshestNode)
        .map(|planned: &PlannedSource| (planned.source, planned.delay.0))
        .collect()
}

#[test]
fn sources_are_planned_by_role_and_age() {
    let parents = [node(1), node(2)];
    let [first, second] = parents.map(ViewSource::Node);
    let registry = ViewSource::Registry;
    let random = ViewSource::RandomNode;
    let far = ViewSource::RandomFarNode;
    let usual = state(&parents);
    let table = [
        (
            "follower",
            usual,
            vec![
                (first, 0),
                (second, 837),
                (random, 1_212),
                (random, 1_399),
                (registry, 1_474),
                (random, 1_586),
                (random, 1_773),
            ],
        ),
        (
            "standby",
            RefreshState {
                is_standby: true,
                ..state(&parents[..1])
            },
            vec![
                (first, 0),
                (registry, 837),
                (random, 1_212),
                (random, 1_399),
                (far, 1_474),
                (random, 1_586),
                (far, 1_661),
                (random, 1_773),
            ],
        ),
        (
            "reader",
            RefreshState {
                reads_registry: true,
                ..usual
            },
            vec![
                (registry, 0),
                (first, 837),
                (second, 837),
                (random, 1_212),
                (random, 1_399),
                (far, 1_474),
                (random, 1_586),
                (far, 1_661),
                (random, 1_773),
            ],
        ),
        (
            "follower with an old view",
            RefreshState {
                age: Some(ClockTime(2_000)),
                ..usual
            },
            vec![
                (first, 0),
                (second, 0),
                (random, 0),
                (random, 187),
                (registry, 262),
                (random, 374),
                (random, 561),
            ],
        ),
        (
            "start",
            RefreshState { age: None, ..usual },
            vec![(registry, 0), (first, 375), (second, 375), (far, 375)],
        ),
        (
            "start with a part of the list of endpoints",
            RefreshState {
                age: None,
                introduced: &parents,
                spread: 1.0,
                ..usual
            },
            vec![(first, 0), (second, 187), (registry, 375)],
        ),
        (
            "start without a configuration",
            RefreshState {
                age: None,
                lacks_config: true,
                spread: 1.0,
                ..usual
            },
            vec![(first, 0), (second, 0), (far, 0), (registry, 1_525)],
        ),
    ];
    for (name, state, expected) in table {
        assert_eq!(sources(&plan_refresh(&state)), expected, "{name}");
    }
}

#[test]
fn the_freshest_known_node_is_asked_until_the_end_of_the_plan() {
    let parents = [node(1), node(2)];
    let plan = plan_refresh(&state(&parents));
    let freshest = plan
        .iter()
        .filter(|planned| planned.source == ViewSource::FreshestNode);
    let delays: Vec<u64> = freshest.map(|planned| planned.delay.0).collect();
    assert_eq!(delays, [1_212, 1_399, 1_586, 1_773, 1_960, 2_147, 2_334]);
}

#[test]
fn reads_of_a_large_fleet_are_spread_by_the_rate_of_the_registry() {
    let late = RefreshState {
        age: Some(ClockTime(2_000)),
        fleet_size: 5_500,
        registry_rate: 2_000.0,
        spread: 1.0,
        ..state(&[])
    };
    // 5,500 reads at half of 2,000 a second take 5.5 s.
    let plan = plan_refresh(&late);
    let reads = plan
        .iter()
        .filter(|planned| planned.source == ViewSource::Registry);
    let delays: Vec<u64> = reads.map(|planned| planned.delay.0).collect();
    assert_eq!(delays, [5_762]);
}

#[test]
fn the_freshest_known_nodes_come_first() {
    let mut peers = FreshPeers::new();
    for number in 0..20 {
        peers.record(node(number), ClockTime(u64::from(number) * 10));
    }
    peers.record(node(19), ClockTime(50));
    peers.record(node(15), ClockTime(500));
    peers.remove(node(18));
    let fresher: Vec<IpAddr> = peers.fresher_than(ClockTime(160)).collect();
    assert_eq!(fresher, [node(15), node(19), node(17)]);
    assert_eq!(peers.fresher_than(ClockTime(500)).count(), 0);
}

#[test]
fn a_reader_that_fails_leaves_reading_to_others_for_a_while() {
    let mut reader = ReaderState::new();
    let now = ClockTime(10_000);
    assert!(reader.reads_registry(now, true) && !reader.reads_registry(now, false));
    for pause in [750, 1_500, 3_000, 6_000, 6_000] {
        reader.record_failure(now, INTERVAL);
        assert!(!reader.reads_registry(now + ClockTime(pause - 1), true));
        assert!(reader.reads_registry(now + ClockTime(pause), true));
    }
    // About two of a hundred nodes go on reading after they had to.
    reader.record_backup_read(now, INTERVAL, 100, 0.03);
    assert!(!reader.reads_registry(now + ClockTime(6_000), false));
    reader.record_backup_read(now + ClockTime(6_000), INTERVAL, 100, 0.01);
    assert!(reader.reads_registry(now + ClockTime(6_000), false));
    assert!(!reader.reads_registry(now + ClockTime(6_000 + 6 * 750), false));
}

/// Node of a simulated fleet.
struct SimulatedNode {
    address: IpAddr,
    parents: Vec<IpAddr>,
    /// The other nodes of its region, and those of all regions.
    region: Vec<IpAddr>,
    fleet: Vec<IpAddr>,
    is_reader: bool,
    is_standby: bool,
    is_turned_away: bool,
    reader: ReaderState,
    read_at: ClockTime,
    peers: FreshPeers,
    plan: RefreshPlan,
    planned_at: ClockTime,
}

/// Result of a simulated fault.
#[derive(Debug, Default)]
struct FleetResult {
    worst_age: ClockTime,
    registry_reads: u64,
}

const STEP: ClockTime = ClockTime(10);

/// A fleet in two regions whose store turns some nodes away. A node reads another one's view at once
/// if it is fresher. A node that is asked learns how fresh the other one is, and in a fleet with
/// traffic, each node learns the freshness of a random other one in each step.
struct SimulatedFleet {
    has_traffic: bool,
    nodes: Vec<SimulatedNode>,
    index: HashMap<IpAddr, usize>,
    random: StdRng,
    now: ClockTime,
    registry_rate: f64,
}

impl SimulatedFleet {
    fn new(size: u32, registry_rate: f64, seed: u64) -> Self {
        let mut directory = ServiceDirectory::new();
        for number in 0..size {
            let zone = if number % 2 == 0 { "west" } else { "east" };
            let record = EndpointRecord {
                id: format!("i-{number}").parse().expect("id"),
                address: (node(number), 80).into(),
                service: "ratecard".parse().expect("service"),
                zone: zone.parse().expect("zone"),
                capacity: 4,
                state: EndpointState::Ready,
                warm_up: ClockTime(0),
                born: 1,
                sequence: 1,
            };
            directory.upsert(ClockTime(0), record);
        }
        let region_of = |zone: &ZoneName| zone.as_str().parse::<RegionName>().ok();
        let trees = ["west", "east"]
            .map(|name| ViewTree::new(&directory, region_of, &name.parse().expect("region")));
        let nodes: Vec<SimulatedNode> = (0..size)
            .map(|number| {
                let address = node(number);
                let tree = &trees[number as usize % 2];
                SimulatedNode {
                    address,
                    parents: tree.parents(address).to_vec(),
                    region: tree
                        .nodes()
                        .iter()
                        .copied()
                        .filter(|other| *other != address)
                        .collect(),
                    fleet: (0..size)
                        .map(node)
                        .filter(|other| *other != address)
                        .collect(),
                    is_reader: tree.readers()[0] == address,
                    is_standby: tree.readers()[1] == address,
                    is_turned_away: false,
                    reader: ReaderState::new(),
                    read_at: ClockTime(10_000),
                    peers: FreshPeers::new(),
                    plan: RefreshPlan::new(),
                    planned_at: ClockTime(0),
                }
            })
            .collect();
        let index = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.address, index));
        Self {
            has_traffic: true,
            index: index.collect(),
            nodes,
            random: StdRng::seed_from_u64(seed),
            now: ClockTime(10_000),
            registry_rate,
        }
    }

    /// Plays 12 s and returns what happened after the first second.
    fn run(&mut self) -> FleetResult {
        let mut result = FleetResult::default();
        let end = self.now + ClockTime(12_000);
        for index in 0..self.nodes.len() {
            self.plan(index);
        }
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.nodes.len() {
                if self.has_traffic {
                    let other = self.random.random_range(0..self.nodes.len());
                    let (address, read_at) = (self.nodes[other].address, self.nodes[other].read_at);
                    self.nodes[index].peers.record(address, read_at);
                }
                result.registry_reads += self.step(index);
                let age = self.now - self.nodes[index].read_at;
                result.worst_age = result.worst_age.max(age);
            }
        }
        result
    }

    fn plan(&mut self, index: usize) {
        let spread = self.random.random_range(0.0..1.0);
        let chance = self.random.random_range(0.0..1.0);
        let fleet_size = self.nodes.len();
        let node = &mut self.nodes[index];
        let reads_registry = node.reader.reads_registry(self.now, node.is_reader);
        node.plan = plan_refresh(&RefreshState {
            age: Some(self.now - node.read_at),
            interval: INTERVAL,
            reads_registry,
            is_standby: node.is_standby,
            lacks_config: false,
            parents: &node.parents,
            introduced: &[],
            limit: refresh_limit(INTERVAL, self.now - node.read_at),
            fleet_size,
            registry_rate: self.registry_rate,
            region_size: node.region.len() + 1,
            spread,
            chance,
        });
        // A reader waits for the next interval after each read.
        let wait = if reads_registry {
            INTERVAL
        } else {
            ClockTime(0)
        };
        node.planned_at = self.now + wait;
    }

    /// Replaces the random nodes of the plan whose time has come by the nodes that are chosen.
    fn choose_random_nodes(&mut self, index: usize, elapsed: ClockTime) {
        let node = &mut self.nodes[index];
        for planned in &mut node.plan {
            let candidates = match planned.source {
                ViewSource::RandomNode => &node.region,
                ViewSource::RandomFarNode => &node.fleet,
                _ => continue,
            };
            if planned.delay <= elapsed {
                let number = self.random.random_range(0..candidates.len());
                planned.source = ViewSource::Node(candidates[number]);
            }
        }
    }

    /// Asks a node, which learns how fresh the asking one is; returns how fresh its view is.
    fn ask(&mut self, index: usize, address: IpAddr) -> ClockTime {
        let (sender, read_at) = (self.nodes[index].address, self.nodes[index].read_at);
        let asked = &mut self.nodes[self.index[&address]];
        asked.peers.record(sender, read_at);
        asked.read_at
    }

    /// Asks the sources whose time has come; returns the number of reads of the registry.
    fn step(&mut self, index: usize) -> u64 {
        let node = &self.nodes[index];
        if self.now < node.planned_at {
            return 0;
        }
        let elapsed = self.now - node.planned_at;
        self.choose_random_nodes(index, elapsed);
        let node = &self.nodes[index];
        let due: Vec<ViewSource> = node
            .plan
            .iter()
            .filter(|planned| planned.delay <= elapsed)
            .map(|planned| planned.source)
            .collect();
        let mut reads = 0;
        for source in due {
            let read_at = match source {
                ViewSource::Registry => {
                    reads += 1;
                    let is_standby = self.nodes[index].is_standby;
                    let chance = self.random.random_range(0.0..1.0);
                    let chance = if is_standby { 0.0 } else { chance };
                    let region_size = self.nodes.len() / 2;
                    let node = &mut self.nodes[index];
                    if node.is_turned_away {
                        node.reader.record_failure(self.now, INTERVAL);
                        node.plan
                            .retain(|planned| planned.source != ViewSource::Registry);
                        continue;
                    }
                    let is_reader = node.reader.reads_registry(self.now, node.is_reader);
                    node.reader.record_success();
                    if !is_reader {
                        node.reader
                            .record_backup_read(self.now, INTERVAL, region_size, chance);
                    }
                    self.now
                }
                ViewSource::Node(address) => self.ask(index, address),
                ViewSource::RandomNode | ViewSource::RandomFarNode => continue,
                ViewSource::FreshestNode => {
                    let node = &self.nodes[index];
                    let freshest = node.peers.fresher_than(node.read_at).next();
                    match freshest {
                        Some(address) => self.ask(index, address),
                        None => continue,
                    }
                }
            };
            if read_at > self.nodes[index].read_at {
                if let ViewSource::Node(address) = source {
                    let parents = &mut self.nodes[index].parents;
                    parents.sort_by_key(|parent| *parent != address);
                }
                self.nodes[index].read_at = read_at;
                self.plan(index);
                return reads;
            }
        }
        // Each question for the freshest known node is asked once.
        let plan = &mut self.nodes[index].plan;
        plan.retain(|planned| {
            planned.source != ViewSource::FreshestNode || planned.delay > elapsed
        });
        let limit = refresh_limit(INTERVAL, self.now - self.nodes[index].read_at);
        if self.nodes[index].plan.is_empty() || elapsed >= limit {
            self.plan(index);
        }
        reads
    }
}

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

/// Plays nodes that request each other's views in circles of random length and latency: no node may
/// regard a view as fresher than it is, or the fleet would never read the registry again.
#[test]
fn a_view_that_returns_to_a_node_is_not_fresher() {
    let mut random = StdRng::seed_from_u64(5);
    for _ in 0..1_000 {
        // Times are in microseconds; the nodes only see whole milliseconds.
        let true_read_at: u64 = 4_000_000 + random.random_range(0..1_000);
        let mut read_at = ClockTime(true_read_at / 1_000);
        let mut time = 5_000_000;
        for _ in 0..random.random_range(1..20) {
            let sent_at = ClockTime(time / 1_000);
            time += random.random_range(0..80_000);
            let received_at = ClockTime(time / 1_000);
            time += random.random_range(0..500_000);
            let replied_at = ClockTime(time / 1_000);
            time += random.random_range(0..80_000);
            let age = replied_at - read_at;
            read_at = earliest_read_time(sent_at, replied_at - received_at, age);
            assert!(
                read_at.0 * 1_000 <= true_read_at,
                "{read_at} {true_read_at}"
            );
        }
    }
}
