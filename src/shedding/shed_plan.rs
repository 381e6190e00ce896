use smallvec::SmallVec;

use crate::clock::ClockTime;

/// Ratio by which a request must cost more than those that are turned away for it. Without it, requests
/// of nearly the same cost displace each other and wait for nothing.
const MIN_COST_RATIO: f64 = 1.25;

/// A queued request, in the order in which requests start.
#[derive(Debug, Clone, Copy)]
pub struct QueuedWork {
    /// Latest time at which it is useful to start the request.
    pub latest_start: ClockTime,
    /// Expected time for which it holds a slot, in ms.
    pub hold_ms: f64,
    /// What it costs callers to turn it away.
    pub cost: f64,
}

/// Returns the indexes of the queued requests that are turned away now, in ascending order.
///
/// It answers the load of callers who ask for more than the endpoint can do in time. Requests start in
/// their order on `slots` slots, the first of them in `first_wait_ms`. For one that cannot start in time,
/// cheaper ones ahead of it are turned away, those first that cost least for the time that they hold; if
/// they cost more than it does, it is turned away itself. This is the rule of Moore and Hodgson for the
/// least number of late jobs, with costs.
#[must_use]
pub fn plan_shedding(
    now: ClockTime,
    first_wait_ms: f64,
    slots: usize,
    queued: &[QueuedWork],
) -> SmallVec<[usize; 4]> {
    let slots = slots.max(1) as f64;
    let mut kept: Vec<usize> = Vec::with_capacity(queued.len());
    let mut shed = SmallVec::new();
    let mut ahead_ms = 0.0;
    for (index, work) in queued.iter().enumerate() {
        let room_ms = (work.latest_start - now).as_f64() - first_wait_ms;
        let excess_ms = ahead_ms - room_ms * slots;
        if excess_ms <= 0.0 {
            kept.push(index);
            ahead_ms += work.hold_ms;
            continue;
        }
        match victims(queued, &kept, work, excess_ms) {
            Some(victims) => {
                kept.retain(|other| !victims.contains(other));
                ahead_ms -= victims
                    .iter()
                    .map(|victim| queued[*victim].hold_ms)
                    .sum::<f64>();
                shed.extend(victims);
                kept.push(index);
                ahead_ms += work.hold_ms;
            }
            None => shed.push(index),
        }
    }
    shed.sort_unstable();
    shed
}

/// Returns requests among `kept` that free `excess_ms` and together cost less than `work`.
fn victims(
    queued: &[QueuedWork],
    kept: &[usize],
    work: &QueuedWork,
    excess_ms: f64,
) -> Option<SmallVec<[usize; 4]>> {
    let density = |work: &QueuedWork| work.cost / work.hold_ms.max(1.0);
    let mut candidates: Vec<usize> = kept
        .iter()
        .copied()
        .filter(|index| density(&queued[*index]) * MIN_COST_RATIO < density(work))
        .collect();
    candidates.sort_by(|first, second| {
        let densities = density(&queued[*first]).total_cmp(&density(&queued[*second]));
        densities.then(second.cmp(first))
    });
    let mut victims = SmallVec::new();
    let (mut freed_ms, mut cost) = (0.0, 0.0);
    for candidate in candidates {
        if freed_ms >= excess_ms {
            break;
        }
        freed_ms += queued[candidate].hold_ms;
        cost += queued[candidate].cost;
        victims.push(candidate);
    }
    (freed_ms >= excess_ms && cost * MIN_COST_RATIO < work.cost).then_some(victims)
}
