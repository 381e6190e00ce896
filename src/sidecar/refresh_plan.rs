use std::net::IpAddr;

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// Age, in refresh intervals, at which a node also asks its other parent. The views of a parent that
/// works are younger.
pub(crate) const SECOND_PARENT_AGE_INTERVALS: f64 = 1.25;
/// Age, in refresh intervals, at which a node asks further sources in addition to its usual ones.
/// More than half of the propagation bound is then left for them.
pub(crate) const BACKUP_AGE_INTERVALS: f64 = 1.75;
/// Delay, in refresh intervals, between two times at which a further node is asked.
const NODE_QUERY_INTERVALS: f64 = 0.25;
/// Number of random nodes that are asked. With half of the nodes turned away, at least one of them
/// reads the registry in 15 of 16 cases, and each random node asks others in turn.
const RANDOM_NODE_COUNT: usize = 4;
/// Time, in refresh intervals, over which starting nodes spread their reads of the whole list of
/// endpoints.
pub(crate) const START_SPREAD_INTERVALS: f64 = 0.5;
/// Time, in refresh intervals, for a node on the first page to reply before any of these reads.
const START_REPLY_INTERVALS: f64 = 0.25;
/// Number of times at which a node without a view asks the node with the freshest view that it knows.
const START_QUERY_COUNT: usize = 4;
/// Number of random nodes of all regions that are asked.
const FAR_NODE_COUNT: usize = 2;
/// Mean number of nodes of a region that ask nodes of other regions, besides its readers.
const FAR_ASKING_COUNT: f64 = 2.0;
/// Delay, in refresh intervals, between asking further nodes and reading the registry.
const REGISTRY_DELAY_INTERVALS: f64 = 0.35;
/// Fraction of the registry's rate that nodes may use for reads of their own at the same time.
const SHARED_RATE_RATIO: f64 = 0.5;
/// Time, in refresh intervals, from asking the first further node to the next plan.
const LIMIT_INTERVALS: f64 = 2.5;
/// Time, in refresh intervals, between two reads of the reader of a region during an outage of the
/// registry. Half an interval after its end at the latest, the reader knows that endpoints register again.
const OUTAGE_READ_INTERVALS: f64 = 0.5;

/// A source of a fresher view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// The registry itself.
    Registry,
    /// Another node.
    Node(IpAddr),
    /// The node with the freshest view that is known by then, if it is fresher than this node's.
    FreshestNode,
    /// A random node of the region that has not been asked.
    RandomNode,
    /// A random node of all regions that has not been asked.
    RandomFarNode,
    /// The registry not before its delay, also if all other sources have failed.
    DelayedRegistry,
}

/// A source with the time after which it is asked, unless an earlier one has succeeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedSource {
    /// The source.
    pub source: ViewSource,
    /// Time from the start of the refresh.
    pub delay: ClockTime,
}

/// The sources of one refresh.
pub type RefreshPlan = SmallVec<[PlannedSource; 24]>;

/// What a node knows when it plans a refresh.
#[derive(Debug, Clone, Copy)]
pub struct RefreshState<'a> {
    /// Age of the endpoints; `None` if the view has never been synchronized.
    pub age: Option<ClockTime>,
    /// Age of the configuration.
    pub config_age: ClockTime,
    /// Usual time between two refreshes.
    pub interval: ClockTime,
    /// Whether the node is to read the registry, and can.
    pub reads_registry: bool,
    /// Whether the node reads the registry if its parent's view is late.
    pub is_standby: bool,
    /// Whether the node is the reader of its region and its last read has failed.
    pub watches_outage: bool,
    /// Whether only the configuration is missing after a full read of the endpoints.
    pub lacks_config: bool,
    /// Parents in the distribution trees; the first one is asked before the other.
    pub parents: &'a [IpAddr],
    /// Nodes on the first page of the list of endpoints, for a node that starts. They send the whole
    /// view at once if they have one, which spares the registry the other pages.
    pub introduced: &'a [IpAddr],
    /// Time for which the plan is followed.
    pub limit: ClockTime,
    /// Number of nodes of the region.
    pub region_size: usize,
    /// Number of nodes of the fleet.
    pub fleet_size: usize,
    /// Reads per second that the registry allows to all nodes.
    pub registry_rate: f64,
    /// Random number from 0 to 1, which spreads the reads of the nodes.
    pub spread: f64,
    /// Random number from 0 to 1, which decides whether the node asks nodes of other regions.
    pub chance: f64,
}

/// Plans a refresh: the sources in the order in which they are asked.
///
/// Usually only a few nodes of a region read the registry and the others ask their parents. The plan
/// answers the load of a fleet whose readers are turned away or cut off, so that all views age at
/// the same moment: nodes with a fresher view are asked while most of the bound is left, and the
/// registry after them, spread so that the nodes together stay within its rate. The first node that
/// has read it becomes known to the others with the messages that it sends. Nodes are asked until the
/// end of the plan, since a full read of the registry that does not respond may last longer than the
/// bound.
#[must_use]
pub fn plan_refresh(state: &RefreshState<'_>) -> RefreshPlan {
    let mut plan = match state.age {
        None => plan_start(state),
        Some(age) => plan_update(state, age),
    };
    plan.sort_by_key(|planned| planned.delay);
    plan
}

/// Returns the time for which a plan is followed, for a view of the given age.
#[must_use]
pub fn refresh_limit(interval: ClockTime, age: ClockTime) -> ClockTime {
    let intervals = |count: f64| ClockTime((interval.as_f64() * count) as u64);
    (intervals(BACKUP_AGE_INTERVALS) - age) + intervals(LIMIT_INTERVALS)
}

/// Plans the refresh of a node that has no view: one page of the registry, then nodes on that page,
/// then the whole list and the configuration.
fn plan_start(state: &RefreshState<'_>) -> RefreshPlan {
    let mut plan = RefreshPlan::new();
    let introduced = state.introduced.iter().enumerate();
    for (index, node) in introduced.filter(|_| !state.lacks_config) {
        let delay = state.intervals(NODE_QUERY_INTERVALS * index as f64);
        add(&mut plan, ViewSource::Node(*node), delay);
    }
    if !plan.is_empty() {
        // When all nodes start together, the first of them to read the whole list serve the others.
        let delay = START_REPLY_INTERVALS + START_SPREAD_INTERVALS * state.spread;
        let delay = state.intervals(delay);
        add(&mut plan, ViewSource::Registry, delay);
        return plan;
    }
    let node_delay = if state.lacks_config {
        ClockTime(0)
    } else {
        add(&mut plan, ViewSource::Registry, ClockTime(0));
        state.intervals(0.5)
    };
    for node in state.parents {
        add(&mut plan, ViewSource::Node(*node), node_delay);
    }
    add(&mut plan, ViewSource::RandomFarNode, node_delay);
    // Another node may introduce itself to a node that the registry turns away.
    for count in 1..=START_QUERY_COUNT {
        plan.push(PlannedSource {
            source: ViewSource::FreshestNode,
            delay: state.intervals(count as f64),
        });
    }
    // A restarted fleet would otherwise read the configuration at the same moment.
    let delay = state.intervals(1.0 + state.spread) + state.registry_delay();
    add(&mut plan, ViewSource::Registry, delay);
    plan
}

/// Plans the refresh of a view of the given age.
fn plan_update(state: &RefreshState<'_>, age: ClockTime) -> RefreshPlan {
    let mut plan = RefreshPlan::new();
    let second = state.intervals(SECOND_PARENT_AGE_INTERVALS) - age;
    if state.reads_registry && !state.lacks_config {
        add(&mut plan, ViewSource::Registry, ClockTime(0));
        for parent in state.parents {
            add(&mut plan, ViewSource::Node(*parent), second);
        }
    } else {
        let late_config = state.intervals(SECOND_PARENT_AGE_INTERVALS) - state.config_age;
        for (index, parent) in state.parents.iter().enumerate() {
            let is_first = index == 0 || state.lacks_config;
            let delay = if is_first {
                ClockTime(0)
            } else {
                second.min(late_config)
            };
            add(&mut plan, ViewSource::Node(*parent), delay);
        }
        if state.is_standby {
            // A reply that is not fresher may come from a parent that reads the registry at the same moments.
            let again = state.parents.first().map(|parent| PlannedSource {
                source: ViewSource::Node(*parent),
                delay: second,
            });
            plan.extend(again);
            add(&mut plan, ViewSource::Registry, second);
        }
    }
    plan_further_sources(state, age, &mut plan);
    if state.watches_outage {
        plan_outage_reads(state, second, &mut plan);
    }
    plan
}

/// Adds the reads by which the reader of a region notices the end of an outage, once its view is late.
fn plan_outage_reads(state: &RefreshState<'_>, from: ClockTime, plan: &mut RefreshPlan) {
    let spacing = state.intervals(OUTAGE_READ_INTERVALS).max(ClockTime(1));
    let mut delay = from;
    while delay < state.limit {
        plan.push(PlannedSource {
            source: ViewSource::DelayedRegistry,
            delay,
        });
        delay = delay + spacing;
    }
}

/// Adds the sources for a view that the usual ones have not refreshed in time.
fn plan_further_sources(state: &RefreshState<'_>, age: ClockTime, plan: &mut RefreshPlan) {
    let backup = state.intervals(BACKUP_AGE_INTERVALS) - age;
    let spacing = state.intervals(NODE_QUERY_INTERVALS).max(ClockTime(1));
    for count in 0.. {
        let delay = backup + ClockTime(spacing.0 * count as u64);
        if delay >= state.limit {
            break;
        }
        plan.push(PlannedSource {
            source: ViewSource::FreshestNode,
            delay,
        });
        if count < RANDOM_NODE_COUNT {
            plan.push(PlannedSource {
                source: ViewSource::RandomNode,
                delay,
            });
        }
    }
    // The answer of a far node may hold the whole view, and links between regions are narrow.
    let asks_far = state.reads_registry
        || state.is_standby
        || state.chance * (state.region_size as f64) < FAR_ASKING_COUNT;
    let far_count = if asks_far { FAR_NODE_COUNT } else { 0 };
    let registry = backup + state.intervals(REGISTRY_DELAY_INTERVALS);
    for count in 0..far_count {
        plan.push(PlannedSource {
            source: ViewSource::RandomFarNode,
            delay: registry + ClockTime(spacing.0 * count as u64),
        });
    }
    let delay = registry + state.registry_delay();
    add(plan, ViewSource::Registry, delay);
}

/// Adds a source unless it is planned already.
fn add(plan: &mut RefreshPlan, source: ViewSource, delay: ClockTime) {
    if plan.iter().all(|planned| planned.source != source) {
        plan.push(PlannedSource { source, delay });
    }
}

impl RefreshState<'_> {
    fn intervals(&self, count: f64) -> ClockTime {
        ClockTime((self.interval.as_f64() * count) as u64)
    }

    /// Returns a random delay that keeps simultaneous reads of the whole fleet within the rate of
    /// the registry.
    fn registry_delay(&self) -> ClockTime {
        let rate = (self.registry_rate * SHARED_RATE_RATIO).max(1.0);
        ClockTime((1_000.0 * self.fleet_size as f64 / rate * self.spread) as u64)
    }
}
