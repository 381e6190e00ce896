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
use crate::sidecar::node_state::NodeState;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::route_stats::RouteStats;

/// Expected network time in ms to an endpoint in the same zone, region, or elsewhere, until the
/// first answer shows it.
const SAME_ZONE_LATENCY_MS: f64 = 1.0;
const SAME_REGION_LATENCY_MS: f64 = 4.0;
const REMOTE_LATENCY_MS: f64 = 20.0;
/// Costs are in requests lost: 1 is the cost of a request that is certainly late or fails.
///
/// Cost of a certain failure, which also wastes the work.
const FAILURE_COST: f64 = 1.5;
/// Cost of an expected time of one objective, beside the risk of being late.
const LATENCY_COST: f64 = 0.1;
/// Cost of a node that owes an answer on its connection, and of an endpoint that could not be
/// reached lately: above that of any other.
const UNRESPONSIVE_COST: f64 = 1_000.0;
const EJECTION_COST: f64 = 2_000.0;
/// Multiple of its slots that one node may have under way at an endpoint: those that run, and a
/// queue that is served in the time of one request.
const MAX_IN_FLIGHT_FACTOR: u32 = 2;
/// Work of a request in ms that is assumed before any answer.
const DEFAULT_PROCESSING_MS: f64 = 100.0;
/// Part of its objective that a request waits for a slot while other endpoints are left to ask.
const PROBE_WAIT_RATIO: f64 = 0.1;
/// Costs of sending a request to another zone or region, where bytes are paid and the link is
/// narrow: it must lower the risk of a late answer by as much.
const CROSS_ZONE_COST: f64 = 0.15;
const CROSS_REGION_COST: f64 = 0.5;
/// Endpoints that are asked for a free slot before the shortest queue is taken.
const MAX_PROBES: usize = 3;
/// Times that the pause doubles after which a busy endpoint in another zone or region is asked
/// again: up to one hold time, within which most of its slots become free, and up to eight, because
/// each question carries the whole request over a narrow link.
const ZONE_BACKOFF_DOUBLINGS: u32 = 2;
const REGION_BACKOFF_DOUBLINGS: u32 = 5;
/// Factor by which a warming endpoint is taken to be slower.
const WARM_UP_SLOWDOWN: f64 = 2.0;
/// Part of its objective that a request may wait for a slot when it cannot be on time.
const LATE_WAIT_RATIO: f64 = 0.25;
/// Largest factor by which short work waits longer than its objective suggests; the time-outs of
/// routes are about three to four times their objectives.
const MAX_SHORT_REQUEST_FACTOR: f64 = 4.0;
/// Multiple of the mean work for which time must be left, so that the endpoint is not given work
/// that it has to break off.
const TAIL_FACTOR: f64 = 1.5;

/// Chooses the endpoint that a request is sent to, by what answers have shown.
pub(crate) struct LoadBalancer {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) endpoints: RefCell<EndpointStats>,
    pub(crate) routes: RefCell<RouteStats>,
}

impl LoadBalancer {
    /// Picks the endpoint to ask next and how long the request may wait there for a slot.
    pub(crate) fn select(
        &self,
        request: &OutboundRequest,
        progress: &mut DispatchState,
        now: ClockTime,
    ) -> Option<(Rc<EndpointRecord>, ClockTime)> {
        let mut skipped = progress.excluded.clone();
        skipped.extend(progress.overloaded.iter().map(|(id, _)| id.clone()));
        while progress.overloaded.len() < MAX_PROBES {
            let next = self.lowest_cost(request, &skipped, now);
            let next = next.filter(|record| self.is_eligible(request, progress, record, now));
            let Some(record) = next else {
                break;
            };
            if self.is_backing_off(&record, now) {
                skipped.push(record.id.clone());
                if !self.is_in_other_region(&record) {
                    let wait = self.expected_wait(request, &record, now);
                    progress.overloaded.push((record.id.clone(), wait));
                }
                continue;
            }
            let probe = self.probe_wait(request, &record);
            let max_wait = self.max_wait(request, &record.id, now);
            return Some((record, probe.min(max_wait)));
        }
        // All have refused: the shortest queue is taken if it still serves the request in time.
        // Distance counts here as well.
        progress
            .overloaded
            .sort_by_key(|(id, wait)| *wait + self.distance_penalty(request, id));
        while !progress.overloaded.is_empty() {
            let (id, wait) = progress.overloaded.remove(0);
            let max_wait = self.max_wait(request, &id, now);
            if wait > max_wait {
                progress.overloaded.insert(0, (id, wait));
                return None;
            }
            progress.excluded.push(id.clone());
            let directory = self.state.directory.borrow();
            if let Some(record) = directory.record(&id) {
                return Some((Rc::clone(record), max_wait));
            }
        }
        None
    }

    /// Returns whether a request should be sent to an endpoint that may not answer.
    ///
    /// A node that is cut off refuses nothing and would attract all that busy ones refuse.
    pub(crate) fn is_eligible(
        &self,
        request: &OutboundRequest,
        progress: &DispatchState,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> bool {
        let overdue = self.pool.is_overdue(self.node_address(record));
        let ejected = self.endpoints.borrow().is_ejected(&record.id, now);
        let in_flight = self.endpoints.borrow().in_flight(&record.id);
        if in_flight >= record.capacity * MAX_IN_FLIGHT_FACTOR {
            return false;
        }
        let only_choice = progress.overloaded.is_empty();
        match (overdue, ejected) {
            (true, _) => only_choice && request.rule.idempotent,
            (false, true) => only_choice,
            (false, false) => true,
        }
    }

    /// Returns whether an endpoint in another zone has refused so lately that it most likely still
    /// has no free slot.
    fn is_backing_off(&self, record: &EndpointRecord, now: ClockTime) -> bool {
        let doublings = match self.is_in_other_region(record) {
            _ if record.zone == self.settings.zone => return false,
            true => REGION_BACKOFF_DOUBLINGS,
            false => ZONE_BACKOFF_DOUBLINGS,
        };
        let endpoints = self.endpoints.borrow();
        endpoints.is_backing_off(&record.id, now, doublings)
    }

    fn expected_wait(
        &self,
        request: &OutboundRequest,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> ClockTime {
        let processing_ms = self.processing_time(request);
        let endpoints = self.endpoints.borrow();
        let forecast = endpoints.forecast(&record.id, now, processing_ms, 0.0, record.capacity);
        ClockTime(forecast.wait as u64)
    }

    /// Returns how long a request waits for a slot while other endpoints are left to ask.
    ///
    /// In another region only a free slot is asked for while the own region has endpoints.
    fn probe_wait(&self, request: &OutboundRequest, record: &EndpointRecord) -> ClockTime {
        let directory = self.state.directory.borrow();
        let mut ready = directory.ready(&request.service);
        if self.is_in_other_region(record) && ready.any(|other| !self.is_in_other_region(other)) {
            return ClockTime(0);
        }
        let factor = self.short_request_factor(&record.id, self.processing_time(request));
        ClockTime((request.rule.objective.as_f64() * PROBE_WAIT_RATIO * factor) as u64)
    }

    fn distance_penalty(&self, request: &OutboundRequest, id: &EndpointId) -> ClockTime {
        let directory = self.state.directory.borrow();
        let record = directory.record(id);
        let distance = record.map_or(0.0, |record| self.network_defaults(record).1);
        ClockTime((distance * request.rule.objective.as_f64()) as u64)
    }

    fn is_in_other_region(&self, record: &EndpointRecord) -> bool {
        let regions = &self.settings.regions;
        regions.get(&record.zone) != regions.get(&self.settings.zone)
    }

    fn short_request_factor(&self, id: &EndpointId, processing_ms: f64) -> f64 {
        let hold_ms = self
            .endpoints
            .borrow()
            .mean_hold_ms(id)
            .unwrap_or(processing_ms);
        (hold_ms / processing_ms.max(1.0)).clamp(1.0, MAX_SHORT_REQUEST_FACTOR)
    }

    /// Returns the time after which an answer to a request is slow.
    pub(crate) fn slow_threshold(&self, request: &OutboundRequest) -> ClockTime {
        let rule = &request.rule;
        let routes = self.routes.borrow();
        routes.slow_threshold(&rule.name, rule.objective)
    }

    /// Returns the expected work of a request in ms.
    pub(crate) fn processing_time(&self, request: &OutboundRequest) -> f64 {
        let processing_ms = self.routes.borrow().processing_time(&request.rule.name);
        processing_ms
            .unwrap_or_else(|| DEFAULT_PROCESSING_MS.min(request.rule.objective.as_f64() / 2.0))
    }

    /// Returns the longest wait for a slot after which the answer is still on time.
    ///
    /// Longer queues serve no more requests, they only make all of them late. A request that is
    /// late already, or whose work takes as long as its objective, may wait a part of it. Work that
    /// is shorter than the usual work of the endpoint delays others little, while its sender may
    /// lose longer work with it.
    fn max_wait(&self, request: &OutboundRequest, id: &EndpointId, now: ClockTime) -> ClockTime {
        let processing_ms = self.processing_time(request);
        let objective = request.rule.objective.as_f64();
        let elapsed = (now - request.arrived).as_f64();
        let on_time = (objective - elapsed - processing_ms).max(objective * LATE_WAIT_RATIO);
        let left = (request.deadline - now).as_f64() - processing_ms * TAIL_FACTOR;
        let max_wait = on_time * self.short_request_factor(id, processing_ms);
        ClockTime(max_wait.min(left).max(0.0) as u64)
    }

    pub(crate) fn lowest_cost(
        &self,
        request: &OutboundRequest,
        excluded: &[EndpointId],
        now: ClockTime,
    ) -> Option<Rc<EndpointRecord>> {
        let directory = self.state.directory.borrow();
        let endpoints = self.endpoints.borrow();
        let processing_ms = self.processing_time(request);
        let objective = request.rule.objective.as_f64();
        let mut best: Option<(f64, &Rc<EndpointRecord>)> = None;
        for record in directory.ready(&request.service) {
            if excluded.contains(&record.id) {
                continue;
            }
            let (latency, distance) = self.network_defaults(record);
            let warm = directory.warm_up(&record.id, now) > ClockTime(0);
            let processing_ms = if warm {
                processing_ms * WARM_UP_SLOWDOWN
            } else {
                processing_ms
            };
            let forecast =
                endpoints.forecast(&record.id, now, processing_ms, latency, record.capacity);
            // Nodes that see the same forecasts must not all choose the same endpoint.
            let time = forecast.response_time * rand::random_range(0.9..1.1);
            let overdue = self.pool.is_overdue(self.node_address(record));
            let unresponsive = if overdue { UNRESPONSIVE_COST } else { 0.0 };
            let ejected = endpoints.is_ejected(&record.id, now);
            let ejection = if ejected { EJECTION_COST } else { 0.0 };
            let cost = latency_cost(time, objective)
                + FAILURE_COST * forecast.failure_rate
                + distance
                + unresponsive
                + ejection;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, record));
            }
        }
        best.map(|(_, record)| Rc::clone(record))
    }

    /// Returns the expected network time in ms and the cost of the distance.
    fn network_defaults(&self, record: &EndpointRecord) -> (f64, f64) {
        if record.zone == self.settings.zone {
            (SAME_ZONE_LATENCY_MS, 0.0)
        } else if !self.is_in_other_region(record) {
            (SAME_REGION_LATENCY_MS, CROSS_ZONE_COST)
        } else {
            (REMOTE_LATENCY_MS, CROSS_REGION_COST)
        }
    }

    pub(crate) fn node_address(&self, record: &EndpointRecord) -> NodeAddress {
        let port = self.settings.peer_listen.port();
        NodeAddress(SocketAddr::new(record.address.ip(), port))
    }
}

/// Returns the cost of an expected time of `time` ms: the risk that an exponentially distributed
/// time with this mean exceeds the objective, and a small part that grows with the time.
fn latency_cost(time: f64, objective: f64) -> f64 {
    let ratio = time / objective.max(1.0);
    (-1.0 / ratio.max(f64::EPSILON)).exp() + LATENCY_COST * ratio
}
