//! A simulated fleet whose nodes refresh their views, in virtual time.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr};

use endivelanding::clock::ClockTime;
use endivelanding::id::{RegionName, ZoneName};
use endivelanding::mesh::{EndpointRecord, EndpointState, HistoryEra, ServiceDirectory};
use endivelanding::sidecar::{
    FreshPeers, ReaderState, RefreshPlan, RefreshState, ViewSource, ViewTree, plan_refresh,
    refresh_limit,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Refresh interval for a propagation bound of 3 s.
pub const INTERVAL: ClockTime = ClockTime(750);

fn node(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number))
}

/// Node of a simulated fleet.
pub struct SimulatedNode {
    address: IpAddr,
    parents: Vec<IpAddr>,
    /// The other nodes of its region, and those of all regions.
    region: Vec<IpAddr>,
    fleet: Vec<IpAddr>,
    pub is_reader: bool,
    pub is_standby: bool,
    pub is_turned_away: bool,
    reader: ReaderState,
    /// Era and time of the reading of the registry that the view reflects.
    read_mark: (HistoryEra, ClockTime),
    /// Whether the node can read the changes since its position instead of everything.
    has_position: bool,
    peers: FreshPeers,
    plan: RefreshPlan,
    planned_at: ClockTime,
}

/// Result of a simulated fault.
#[derive(Debug, Default)]
pub struct FleetResult {
    pub worst_age: ClockTime,
    pub registry_reads: u64,
    /// Maximum number of reads of the registry within a second.
    pub peak_reads: u64,
    /// Number of nodes that have asked the registry while it was not away.
    pub reading_nodes: usize,
    /// Longest time from the return of the registry until a node had a view of its latest era.
    pub worst_era_delay: ClockTime,
}

const STEP: ClockTime = ClockTime(10);
/// Number of steps within a second.
const SECOND_STEP_COUNT: usize = 100;
/// Number of endpoints on one page of the list.
const PAGE_SIZE: usize = 500;

/// A fleet in two regions whose store turns some nodes away. A node reads another one's view at once
/// if it is fresher. A node that is asked learns how fresh the other one is, and in a fleet with
/// traffic, each node learns the freshness of a random other one in each step.
pub struct SimulatedFleet {
    pub has_traffic: bool,
    pub nodes: Vec<SimulatedNode>,
    index: HashMap<IpAddr, usize>,
    pub random: StdRng,
    now: ClockTime,
    registry_rate: f64,
    era: HistoryEra,
    /// Time at which the registry is back, after it was away.
    back_at: ClockTime,
}

impl SimulatedFleet {
    pub fn new(size: u32, registry_rate: f64, seed: u64) -> Self {
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
                registered: 1,
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
                    read_mark: (HistoryEra(1), ClockTime(10_000)),
                    has_position: true,
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
            era: HistoryEra(1),
            back_at: ClockTime(0),
        }
    }

    /// Restores the registry from a copy, `count` times in a row; it is back after `away`.
    pub fn restore(&mut self, away: ClockTime, count: u64) {
        self.era.0 += count;
        self.back_at = self.now + away;
    }

    /// Plays 12 s and returns what happened after the first second.
    pub fn run(&mut self) -> FleetResult {
        let mut result = FleetResult::default();
        let end = self.now + ClockTime(12_000);
        let mut reads: Vec<u64> = Vec::new();
        let mut readers = HashSet::new();
        for index in 0..self.nodes.len() {
            self.plan(index);
        }
        while self.now < end {
            self.now = self.now + STEP;
            reads.push(0);
            for index in 0..self.nodes.len() {
                if self.has_traffic {
                    let other = self.random.random_range(0..self.nodes.len());
                    let (address, mark) = (self.nodes[other].address, self.nodes[other].read_mark);
                    self.nodes[index].peers.record(address, mark.1);
                }
                let count = self.step(index);
                if count > 0 && self.now >= self.back_at {
                    readers.insert(index);
                }
                result.registry_reads += count;
                *reads.last_mut().expect("a step") += count;
                let (era, read_at) = self.nodes[index].read_mark;
                result.worst_age = result.worst_age.max(self.now - read_at);
                if era != self.era {
                    let delay = self.now - self.back_at;
                    result.worst_era_delay = result.worst_era_delay.max(delay);
                }
            }
        }
        let seconds = reads.windows(SECOND_STEP_COUNT);
        result.peak_reads = seconds.map(|reads| reads.iter().sum()).max().unwrap_or(0);
        result.reading_nodes = readers.len();
        result
    }

    fn plan(&mut self, index: usize) {
        let spread = self.random.random_range(0.0..1.0);
        let chance = self.random.random_range(0.0..1.0);
        let fleet_size = self.nodes.len();
        let node = &mut self.nodes[index];
        let reads_registry = node.reader.reads_registry(self.now, node.is_reader);
        node.plan = plan_refresh(&RefreshState {
            age: Some(self.now - node.read_mark.1),
            config_age: self.now - node.read_mark.1,
            interval: INTERVAL,
            reads_registry,
            is_standby: node.is_standby,
            watches_outage: false,
            lacks_config: false,
            parents: &node.parents,
            introduced: &[],
            limit: refresh_limit(INTERVAL, self.now - node.read_mark.1),
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
    fn ask(&mut self, index: usize, address: IpAddr) -> (HistoryEra, ClockTime) {
        let (sender, mark) = (self.nodes[index].address, self.nodes[index].read_mark);
        let asked = &mut self.nodes[self.index[&address]];
        if mark.0 >= asked.read_mark.0 {
            asked.peers.record(sender, mark.1);
        }
        let asked_mark = asked.read_mark;
        if asked_mark.0 < mark.0 {
            self.nodes[index].peers.remove(address);
        }
        asked_mark
    }

    /// Returns the number of calls of a successful read: of the changes, or of the whole list and the
    /// configuration.
    fn read_cost(&self, index: usize) -> u64 {
        let node = &self.nodes[index];
        let pages = self.nodes.len().div_ceil(PAGE_SIZE) as u64;
        match (node.has_position, node.read_mark.0 == self.era) {
            (true, true) => 1,
            (true, false) => 1 + pages + 1,
            (false, _) => pages + 1,
        }
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
            let mark = match source {
                ViewSource::Registry | ViewSource::DelayedRegistry => {
                    let is_away = self.now < self.back_at;
                    let is_failing = self.nodes[index].is_turned_away || is_away;
                    reads += match is_failing {
                        true => 1,
                        false => self.read_cost(index),
                    };
                    let is_standby = self.nodes[index].is_standby;
                    let chance = self.random.random_range(0.0..1.0);
                    let chance = if is_standby { 0.0 } else { chance };
                    let region_size = self.nodes.len() / 2;
                    let node = &mut self.nodes[index];
                    if is_failing {
                        node.has_position = false;
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
                    (self.era, self.now)
                }
                ViewSource::Node(address) => self.ask(index, address),
                ViewSource::RandomNode | ViewSource::RandomFarNode => continue,
                ViewSource::FreshestNode => {
                    let node = &self.nodes[index];
                    let freshest = node.peers.fresher_than(node.read_mark.1).next();
                    match freshest {
                        Some(address) => self.ask(index, address),
                        None => continue,
                    }
                }
            };
            if mark > self.nodes[index].read_mark {
                if let ViewSource::Node(address) = source {
                    let parents = &mut self.nodes[index].parents;
                    parents.sort_by_key(|parent| *parent != address);
                }
                self.nodes[index].read_mark = mark;
                self.nodes[index].has_position = true;
                self.plan(index);
                return reads;
            }
        }
        // Each question for the freshest known node is asked once.
        let plan = &mut self.nodes[index].plan;
        plan.retain(|planned| {
            planned.source != ViewSource::FreshestNode || planned.delay > elapsed
        });
        let limit = refresh_limit(INTERVAL, self.now - self.nodes[index].read_mark.1);
        if self.nodes[index].plan.is_empty() || elapsed >= limit {
            self.plan(index);
        }
        reads
    }
}
