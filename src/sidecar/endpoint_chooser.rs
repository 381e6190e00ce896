use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::id::{EndpointId, NodeAddress};
use crate::mesh::EndpointRecord;
use crate::peer::PeerPool;
use crate::sidecar::SidecarSettings;
use crate::sidecar::dispatch_state::DispatchState;
use crate::sidecar::endpoint_stats::EndpointStats;
use crate::sidecar::entry_request::EntryRequest;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::route_stats::RouteStats;

/// Expected network time in ms to an endpoint in the same zone, region, or elsewhere, until the
/// first answer shows it.
const ZONE_NETWORK: f64 = 1.0;
const REGION_NETWORK: f64 = 4.0;
const REMOTE_NETWORK: f64 = 20.0;
/// Costs are in requests lost: 1 is the cost of a request that is certainly late or fails.
///
/// Cost of a certain failure, which also wastes the work.
const FAILURE_COST: f64 = 1.5;
/// Cost of an expected time of one objective, beside the risk of being late.
const TIME_COST: f64 = 0.1;
/// Cost of a node that owes an answer on its connection, and of an endpoint that could not be
/// reached lately: above that of any other.
const SILENCE_COST: f64 = 1_000.0;
const AVOID_COST: f64 = 2_000.0;
/// Multiple of its slots that one node may have under way at an endpoint: those that run, and a
/// queue that is served in the time of one request.
const HELD_FACTOR: u32 = 2;
/// Work of a request in ms that is assumed before any answer.
const FIRST_WORK: f64 = 100.0;
/// Part of its objective that a request waits for a slot while other endpoints are left to ask.
const PROBE_PATIENCE: f64 = 0.1;
/// Costs of sending a request to another zone or region, where bytes are paid and the link is
/// narrow: it must lower the risk of a late answer by as much.
const ZONE_DISTANCE: f64 = 0.15;
const REGION_DISTANCE: f64 = 0.5;
/// Endpoints that are asked for a free slot before the shortest queue is taken.
const PROBE_LIMIT: usize = 3;
/// Times that the pause doubles after which a busy endpoint in another zone or region is asked
/// again: up to one hold time, within which most of its slots become free, and up to eight, because
/// each question carries the whole request over a narrow link.
const ZONE_DOUBLINGS: u32 = 2;
const REGION_DOUBLINGS: u32 = 5;
/// Factor by which a warming endpoint is taken to be slower.
const WARM_UP_FACTOR: f64 = 2.0;
/// Part of its objective that a request may wait for a slot when it cannot be on time.
const LATE_WAIT_PART: f64 = 0.25;
/// Largest factor by which short work waits longer than its objective suggests; the time-outs of
/// routes are about three to four times their objectives.
const SHORT_WORK_FACTOR: f64 = 4.0;
/// Multiple of the mean work for which time must be left, so that the endpoint is not given work
/// that it has to break off.
const TAIL_FACTOR: f64 = 1.5;

/// Chooses the endpoint that a request is sent to, by what answers have shown.
pub(crate) struct EndpointChooser {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) endpoints: RefCell<EndpointStats>,
    pub(crate) routes: RefCell<RouteStats>,
}

impl EndpointChooser {
    /// Picks the endpoint to ask next and how long the request may wait there for a slot.
    pub(crate) fn choose(
        &self,
        request: &EntryRequest,
        progress: &mut DispatchState,
        now: ClockTime,
    ) -> Option<(Rc<EndpointRecord>, ClockTime)> {
        let mut passed = progress.excluded.clone();
        passed.extend(progress.busy.iter().map(|(id, _)| id.clone()));
        while progress.busy.len() < PROBE_LIMIT {
            let next = self.best(request, &passed, now);
            let next = next.filter(|record| self.is_worth_asking(request, progress, record, now));
            let Some(record) = next else {
                break;
            };
            if self.is_paused(&record, now) {
                passed.push(record.id.clone());
                if !self.is_remote(&record) {
                    let wait = self.expected_wait(request, &record, now);
                    progress.busy.push((record.id.clone(), wait));
                }
                continue;
            }
            let probe = self.probe_patience(request, &record);
            let longest = self.longest_wait(request, &record.id, now);
            return Some((record, probe.min(longest)));
        }
        // All have refused: the shortest queue is taken if it still serves the request in time.
        // Distance counts here as well.
        progress
            .busy
            .sort_by_key(|(id, wait)| *wait + self.distance(request, id));
        while !progress.busy.is_empty() {
            let (id, wait) = progress.busy.remove(0);
            let longest = self.longest_wait(request, &id, now);
            if wait > longest {
                progress.busy.insert(0, (id, wait));
                return None;
            }
            progress.excluded.push(id.clone());
            let directory = self.state.directory.borrow();
            if let Some(record) = directory.record(&id) {
                return Some((Rc::clone(record), longest));
            }
        }
        None
    }

    /// Returns whether a request should be sent to an endpoint that may not answer.
    ///
    /// A node that is cut off refuses nothing and would attract all that busy ones refuse.
    pub(crate) fn is_worth_asking(
        &self,
        request: &EntryRequest,
        progress: &DispatchState,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> bool {
        let overdue = self.pool.is_ping_overdue(self.node_of(record));
        let avoided = self.endpoints.borrow().is_avoided(&record.id, now);
        let held = self.endpoints.borrow().in_flight(&record.id);
        if held >= record.capacity * HELD_FACTOR {
            return false;
        }
        let only_choice = progress.busy.is_empty();
        match (overdue, avoided) {
            (true, _) => only_choice && request.rule.idempotent,
            (false, true) => only_choice,
            (false, false) => true,
        }
    }

    /// Returns whether an endpoint in another zone has refused so lately that it most likely still
    /// has no free slot.
    fn is_paused(&self, record: &EndpointRecord, now: ClockTime) -> bool {
        let doublings = match self.is_remote(record) {
            _ if record.zone == self.settings.zone => return false,
            true => REGION_DOUBLINGS,
            false => ZONE_DOUBLINGS,
        };
        let endpoints = self.endpoints.borrow();
        endpoints.is_paused(&record.id, now, doublings)
    }

    fn expected_wait(
        &self,
        request: &EntryRequest,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> ClockTime {
        let work = self.work(request);
        let endpoints = self.endpoints.borrow();
        let forecast = endpoints.forecast(&record.id, now, work, 0.0, record.capacity);
        ClockTime(forecast.wait as u64)
    }

    /// Returns how long a request waits for a slot while other endpoints are left to ask.
    ///
    /// In another region only a free slot is asked for while the own region has endpoints.
    fn probe_patience(&self, request: &EntryRequest, record: &EndpointRecord) -> ClockTime {
        let directory = self.state.directory.borrow();
        let mut ready = directory.ready(&request.service);
        if self.is_remote(record) && ready.any(|other| !self.is_remote(other)) {
            return ClockTime(0);
        }
        let factor = self.short_work_factor(&record.id, self.work(request));
        ClockTime((request.rule.objective.as_f64() * PROBE_PATIENCE * factor) as u64)
    }

    fn distance(&self, request: &EntryRequest, id: &EndpointId) -> ClockTime {
        let directory = self.state.directory.borrow();
        let record = directory.record(id);
        let distance = record.map_or(0.0, |record| self.network_prior(record).1);
        ClockTime((distance * request.rule.objective.as_f64()) as u64)
    }

    fn is_remote(&self, record: &EndpointRecord) -> bool {
        let regions = &self.settings.regions;
        regions.get(&record.zone) != regions.get(&self.settings.zone)
    }

    fn short_work_factor(&self, id: &EndpointId, work: f64) -> f64 {
        let hold = self.endpoints.borrow().hold(id).unwrap_or(work);
        (hold / work.max(1.0)).clamp(1.0, SHORT_WORK_FACTOR)
    }

    /// Returns the time after which an answer to a request is slow.
    pub(crate) fn slow_after(&self, request: &EntryRequest) -> ClockTime {
        let rule = &request.rule;
        let routes = self.routes.borrow();
        routes.slow_after(&rule.name, rule.objective)
    }

    /// Returns the expected work of a request in ms.
    pub(crate) fn work(&self, request: &EntryRequest) -> f64 {
        let work = self.routes.borrow().work(&request.rule.name);
        work.unwrap_or_else(|| FIRST_WORK.min(request.rule.objective.as_f64() / 2.0))
    }

    /// Returns the longest wait for a slot after which the answer is still on time.
    ///
    /// Longer queues serve no more requests, they only make all of them late. A request that is
    /// late already, or whose work takes as long as its objective, may wait a part of it. Work that
    /// is shorter than the usual work of the endpoint delays others little, while its sender may
    /// lose longer work with it.
    fn longest_wait(&self, request: &EntryRequest, id: &EndpointId, now: ClockTime) -> ClockTime {
        let work = self.work(request);
        let objective = request.rule.objective.as_f64();
        let passed = (now - request.arrived).as_f64();
        let on_time = (objective - passed - work).max(objective * LATE_WAIT_PART);
        let left = (request.deadline - now).as_f64() - work * TAIL_FACTOR;
        let patience = on_time * self.short_work_factor(id, work);
        ClockTime(patience.min(left).max(0.0) as u64)
    }

    pub(crate) fn best(
        &self,
        request: &EntryRequest,
        excluded: &[EndpointId],
        now: ClockTime,
    ) -> Option<Rc<EndpointRecord>> {
        let directory = self.state.directory.borrow();
        let endpoints = self.endpoints.borrow();
        let work = self.work(request);
        let objective = request.rule.objective.as_f64();
        let mut best: Option<(f64, &Rc<EndpointRecord>)> = None;
        for record in directory.ready(&request.service) {
            if excluded.contains(&record.id) {
                continue;
            }
            let (prior, distance) = self.network_prior(record);
            let warm = directory.warm_up(&record.id, now) > ClockTime(0);
            let work = if warm { work * WARM_UP_FACTOR } else { work };
            let forecast = endpoints.forecast(&record.id, now, work, prior, record.capacity);
            // Nodes that see the same forecasts must not all choose the same endpoint.
            let time = forecast.time * rand::random_range(0.9..1.1);
            let overdue = self.pool.is_ping_overdue(self.node_of(record));
            let silence = if overdue { SILENCE_COST } else { 0.0 };
            let avoided = endpoints.is_avoided(&record.id, now);
            let avoidance = if avoided { AVOID_COST } else { 0.0 };
            let cost = lateness_cost(time, objective)
                + FAILURE_COST * forecast.failures
                + distance
                + silence
                + avoidance;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, record));
            }
        }
        best.map(|(_, record)| Rc::clone(record))
    }

    /// Returns the expected network time in ms and the cost of the distance.
    fn network_prior(&self, record: &EndpointRecord) -> (f64, f64) {
        if record.zone == self.settings.zone {
            (ZONE_NETWORK, 0.0)
        } else if !self.is_remote(record) {
            (REGION_NETWORK, ZONE_DISTANCE)
        } else {
            (REMOTE_NETWORK, REGION_DISTANCE)
        }
    }

    pub(crate) fn node_of(&self, record: &EndpointRecord) -> NodeAddress {
        let port = self.settings.peer_listen.port();
        NodeAddress(SocketAddr::new(record.address.ip(), port))
    }
}

/// Returns the cost of an expected time of `time` ms: the risk that an exponentially distributed
/// time with this mean exceeds the objective, and a small part that grows with the time.
fn lateness_cost(time: f64, objective: f64) -> f64 {
    let ratio = time / objective.max(1.0);
    (-1.0 / ratio.max(f64::EPSILON)).exp() + TIME_COST * ratio
}
