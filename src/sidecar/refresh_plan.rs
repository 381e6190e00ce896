use std::net::IpAddr;

use smallvec::SmallVec;

use crate::clock::ClockTime;

/// Age, in refresh intervals, at which a node also asks its other parent. The views of a parent that
/// works are younger.
const SECOND_PARENT_AGE_INTERVALS: f64 = 1.25;
/// Age, in refresh intervals, at which a node asks further sources in addition to its usual ones.
/// More than half of the propagation bound is then left for them.
const BACKUP_AGE_INTERVALS: f64 = 1.75;
/// Number of times at which the freshest known node is asked, and the delay between them in refresh
/// intervals.
const FRESHEST_QUERY_COUNT: u32 = 3;
const FRESHEST_QUERY_INTERVALS: f64 = 0.5;
/// Delay, in refresh intervals, between asking further nodes and reading the registry.
const REGISTRY_DELAY_INTERVALS: f64 = 0.35;
/// Fraction of the registry's rate that nodes may use for reads of their own at the same time.
const SHARED_RATE_RATIO: f64 = 0.5;

/// Delay, in refresh intervals, between the first and the following further nodes.
const OTHER_NODE_INTERVALS: f64 = 0.25;
/// Time, in refresh intervals, from asking the first further node to the next plan.
const LIMIT_INTERVALS: f64 = 2.5;

/// A source of a fresher view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// The registry itself.
    Registry,
    /// Another node.
    Node(IpAddr),
    /// The node with the freshest view that is known by then, if it is fresher than this node's.
    FreshestNode,
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
pub type RefreshPlan = SmallVec<[PlannedSource; 16]>;

/// What a node knows when it plans a refresh.
#[derive(Debug, Clone, Copy)]
pub struct RefreshState<'a> {
    /// Age of the view; `None` if it has never been synchronized.
    pub age: Option<ClockTime>,
    /// Usual time between two refreshes.
    pub interval: ClockTime,
    /// Whether the node is to read the registry, and can.
    pub reads_registry: bool,
    /// Whether the node reads the registry if its parent's view is late.
    pub is_standby: bool,
    /// Whether only the configuration is missing after a full read of the endpoints.
    pub lacks_config: bool,
    /// Parents in the distribution trees; the first one is asked before the other.
    pub parents: &'a [IpAddr],
    /// Further nodes that may have a fresher view.
    pub others: &'a [IpAddr],
    /// Number of nodes of the fleet.
    pub fleet_size: usize,
    /// Reads per second that the registry allows to all nodes.
    pub registry_rate: f64,
    /// Random number from 0 to 1, which spreads the reads of the nodes.
    pub spread: f64,
}

/// Plans a refresh: the sources in the order in which they are asked.
///
/// Usually only a few nodes of a region read the registry and the others ask their parents. The plan
/// answers the load of a fleet whose readers are turned away or cut off, so that all views age at
/// the same moment: nodes with a fresher view are asked while most of the bound is left, and the
/// registry after them, spread so that the nodes together stay within its rate. The first node that
/// has read it becomes known to the others with the messages that it sends.
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

fn plan_start(state: &RefreshState<'_>) -> RefreshPlan {
    let mut plan = RefreshPlan::new();
    let node_delay = if state.lacks_config {
        ClockTime(0)
    } else {
        add(&mut plan, ViewSource::Registry, ClockTime(0));
        state.intervals(0.5)
    };
    for node in state.parents.iter().chain(state.others) {
        add(&mut plan, ViewSource::Node(*node), node_delay);
    }
    // A restarted fleet would otherwise read the configuration at the same moment.
    let delay = state.intervals(1.0 + state.spread) + state.registry_delay();
    add(&mut plan, ViewSource::Registry, delay);
    plan
}

fn plan_update(state: &RefreshState<'_>, age: ClockTime) -> RefreshPlan {
    let mut plan = RefreshPlan::new();
    let second = state.intervals(SECOND_PARENT_AGE_INTERVALS) - age;
    if state.reads_registry && !state.lacks_config {
        add(&mut plan, ViewSource::Registry, ClockTime(0));
        for parent in state.parents {
            add(&mut plan, ViewSource::Node(*parent), second);
        }
    } else {
        for (index, parent) in state.parents.iter().enumerate() {
            let is_first = index == 0 || state.lacks_config;
            let delay = if is_first { ClockTime(0) } else { second };
            add(&mut plan, ViewSource::Node(*parent), delay);
        }
        if state.is_standby {
            add(&mut plan, ViewSource::Registry, second);
        }
    }
    let backup = state.intervals(BACKUP_AGE_INTERVALS) - age;
    for (count, node) in state.others.iter().enumerate() {
        let delay = state.intervals(OTHER_NODE_INTERVALS * count.saturating_sub(1) as f64);
        add(&mut plan, ViewSource::Node(*node), backup + delay);
    }
    for count in 0..FRESHEST_QUERY_COUNT {
        let delay = state.intervals(FRESHEST_QUERY_INTERVALS * f64::from(count));
        plan.push(PlannedSource {
            source: ViewSource::FreshestNode,
            delay: backup + delay,
        });
    }
    let delay = state.intervals(REGISTRY_DELAY_INTERVALS) + state.registry_delay();
    add(&mut plan, ViewSource::Registry, backup + delay);
    plan
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
