use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::held_body::HoldPolicy;
use crate::id::{EndpointId, NodeAddress};
use crate::mesh::EndpointRecord;
use crate::peer::PeerPool;
use crate::sidecar::SidecarSettings;
use crate::sidecar::dispatch_state::DispatchState;
use crate::sidecar::endpoint_stats::EndpointStats;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::route_stats::RouteStats;

/// Default network latency in ms to an endpoint in the same zone, in the same region, or in another
/// region, used until a response provides a measurement.
const SAME_ZONE_LATENCY_MS: f64 = 1.0;
const SAME_REGION_LATENCY_MS: f64 = 4.0;
const REMOTE_LATENCY_MS: f64 = 20.0;
/// Cost of a certain failure. All costs are relative to a request that is certainly late, which
/// costs 1; a failure costs more because the work is wasted as well.
const FAILURE_COST: f64 = 1.5;
/// Cost of an expected response time equal to the objective, in addition to the risk of being late.
const LATENCY_COST: f64 = 0.1;
/// Costs of a node with an unacknowledged PING and of an ejected endpoint. Both exceed the cost of
/// any other endpoint.
const UNRESPONSIVE_COST: f64 = 1_000.0;
const EJECTION_COST: f64 = 2_000.0;
/// Maximum requests in flight from this node to one endpoint, as a multiple of its slots: the
/// running requests, and a queue that drains within the duration of one request.
const MAX_IN_FLIGHT_FACTOR: u32 = 2;
/// Processing time in ms assumed for a route without responses.
const DEFAULT_PROCESSING_MS: f64 = 100.0;
/// Fraction of the objective that a request may queue at one endpoint while others are untried.
const PROBE_WAIT_RATIO: f64 = 0.1;
/// Costs of sending a request to another zone or region, over links that have little bandwidth and
/// whose traffic is billed. Crossing must reduce the risk of a late response by at least this much.
const CROSS_ZONE_COST: f64 = 0.15;
const CROSS_REGION_COST: f64 = 0.5;
/// Cost of an endpoint at which all requests that may be served in few regions are turned away. It
/// exceeds the cost of another region when a third of them is.
const SCARCITY_COST: f64 = 1.5;
/// Endpoints probed for a free slot before the request joins the shortest queue.
const MAX_PROBE_COUNT: usize = 3;
/// Endpoints passed over as ineligible before no further one is considered.
const MAX_INELIGIBLE_COUNT: usize = 4;
/// Limits on the doublings of the backoff after an endpoint in another zone or region refuses a
/// request.
///
/// The backoff reaches one mean slot hold time in another zone, within which most slots become
/// free, and eight in another region, because each probe sends the whole request over a link with
/// little bandwidth.
const ZONE_BACKOFF_DOUBLING_COUNT: u32 = 2;
const REGION_BACKOFF_DOUBLING_COUNT: u32 = 5;
/// Assumed slowdown of an endpoint that is warming up.
const WARM_UP_SLOWDOWN_FACTOR: f64 = 2.0;
/// Fraction of the objective that a request may queue if it cannot meet the objective.
const LATE_WAIT_RATIO: f64 = 0.25;
/// Maximum factor by which the queue wait of a short request is extended. Route timeouts are
/// typically three to four times the objective.
const MAX_SHORT_REQUEST_FACTOR: f64 = 4.0;
/// Multiple of the mean processing time that must remain before the deadline, so that the endpoint
/// does not start requests that would be aborted.
const TAIL_FACTOR: f64 = 1.5;

/// Load balancer that selects endpoints for requests, based on the load, latency and failures seen
/// in earlier responses.
pub(crate) struct LoadBalancer {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) endpoints: RefCell<EndpointStats>,
    pub(crate) routes: RefCell<RouteStats>,
}

impl LoadBalancer {
    /// Selects the next endpoint to try and the longest time that the request may queue there.
    pub(crate) fn select(
        &self,
        request: &OutboundRequest,
        progress: &mut DispatchState,
        now: ClockTime,
    ) -> Option<(Rc<EndpointRecord>, ClockTime)> {
        let mut skipped = progress.excluded.clone();
        skipped.extend(progress.overloaded.iter().map(|(id, _)| id.clone()));
        let mut ineligible = 0;
        while progress.overloaded.len() < MAX_PROBE_COUNT && ineligible < MAX_INELIGIBLE_COUNT {
            let Some(record) = self.lowest_cost_endpoint(request, &skipped, now) else {
                break;
            };
            if !self.is_eligible(request, progress, &record, now) {
                // A known queue is preferred to endpoints that cost more.
                if !progress.overloaded.is_empty() {
                    break;
                }
                skipped.push(record.id.clone());
                ineligible += 1;
                continue;
            }
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
        // All probed endpoints are at capacity: join the shortest queue, including the distance
        // penalty, if it can still serve the request in time.
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
            let record = directory.record(&id);
            if let Some(record) = record.filter(|record| self.exclusion(request, record).is_none())
            {
                return Some((Rc::clone(record), max_wait));
            }
        }
        None
    }

    /// Returns whether a request may be sent to an endpoint that may be overloaded or unreachable.
    ///
    /// An unreachable node never refuses a request, so without this check it would attract all
    /// requests that loaded endpoints refuse.
    pub(crate) fn is_eligible(
        &self,
        request: &OutboundRequest,
        progress: &DispatchState,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> bool {
        let overdue = self.pool.is_ping_overdue(self.node_address(record));
        let ejected = self.endpoints.borrow().is_ejected(&record.id, now);
        let in_flight = self.endpoints.borrow().in_flight(&record.id);
        let endpoints = self.endpoints.borrow();
        let sustained = endpoints.sustained_capacity(&record.id, record.capacity);
        if in_flight >= sustained * MAX_IN_FLIGHT_FACTOR {
            return false;
        }
        let only_choice = progress.overloaded.is_empty();
        match (overdue, ejected) {
            (true, _) => only_choice && request.rule.idempotent,
            (false, true) => only_choice,
            (false, false) => true,
        }
    }

    /// Returns whether an endpoint in another zone refused a request so recently that it probably
    /// still has no free slot.
    fn is_backing_off(&self, record: &EndpointRecord, now: ClockTime) -> bool {
        let doublings = match self.is_in_other_region(record) {
            _ if record.zone == self.settings.zone => return false,
            true => REGION_BACKOFF_DOUBLING_COUNT,
            false => ZONE_BACKOFF_DOUBLING_COUNT,
        };
        let endpoints = self.endpoints.borrow();
        endpoints.is_backing_off(&record.id, now, doublings)
    }

    /// Returns whether the body of a request is sent only when the endpoint has room.
    pub(crate) fn holds_body(
        &self,
        request: &OutboundRequest,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> bool {
        let policy = HoldPolicy {
            body_bytes: request.body.len(),
            is_remote: record.zone != self.settings.zone,
            expected_wait: self.expected_wait(request, record, now),
            since_refusal: self.endpoints.borrow().since_refusal(&record.id, now),
        };
        policy.holds()
    }

    fn expected_wait(
        &self,
        request: &OutboundRequest,
        record: &EndpointRecord,
        now: ClockTime,
    ) -> ClockTime {
        let processing_ms = self.processing_ms(request);
        let endpoints = self.endpoints.borrow();
        let forecast = endpoints.forecast(&record.id, now, processing_ms, 0.0, record.capacity);
        ClockTime(forecast.wait_ms as u64)
    }

    /// Returns how long a request may queue at an endpoint while others are untried.
    ///
    /// Endpoints in another region are only used if they have a free slot, as long as the local
    /// region has ready endpoints.
    fn probe_wait(&self, request: &OutboundRequest, record: &EndpointRecord) -> ClockTime {
        let directory = self.state.directory.borrow();
        let mut ready = directory.ready(&request.service);
        let mut has_local = || {
            ready.any(|other| {
                !self.is_in_other_region(other) && self.exclusion(request, other).is_none()
            })
        };
        if self.is_in_other_region(record) && has_local() {
            return ClockTime(0);
        }
        let factor = self.short_request_factor(&record.id, self.processing_ms(request));
        ClockTime((request.rule.objective.as_f64() * PROBE_WAIT_RATIO * factor) as u64)
    }

    /// Returns why a ready endpoint must not be sent a request, if it must not.
    fn exclusion(&self, request: &OutboundRequest, record: &EndpointRecord) -> Option<ResultCode> {
        let homes = &request.rule.homes;
        if !homes.is_unrestricted() && !homes.admits(self.settings.regions.get(&record.zone)) {
            return Some(ResultCode::NoHome);
        }
        let leaving = self.state.leaving.borrow();
        if leaving.contains(&record.id, record.born) {
            return Some(ResultCode::NodeLeaving);
        }
        let evacuations = self.state.evacuations.borrow();
        let is_evacuated = evacuations.contains(&record.zone);
        is_evacuated.then_some(ResultCode::ZoneEvacuated)
    }

    /// Returns why no endpoint of the service can be sent a request. An evacuation takes precedence over
    /// a home, since its end makes the endpoint available.
    pub(crate) fn missing_cause(&self, request: &OutboundRequest) -> ResultCode {
        let directory = self.state.directory.borrow();
        let ready = directory.ready(&request.service);
        let causes: Vec<_> = ready
            .map(|record| self.exclusion(request, record))
            .collect();
        let is_excluded = !causes.is_empty() && causes.iter().all(Option::is_some);
        let evacuated = causes.contains(&Some(ResultCode::ZoneEvacuated));
        let is_away = causes.contains(&Some(ResultCode::NoHome));
        match (is_excluded, evacuated) {
            (true, true) => ResultCode::ZoneEvacuated,
            (true, false) if is_away => ResultCode::NoHome,
            _ => ResultCode::NoEndpoint,
        }
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

    /// Returns the time after which a response is considered slow.
    pub(crate) fn slow_threshold(&self, request: &OutboundRequest) -> ClockTime {
        let rule = &request.rule;
        let routes = self.routes.borrow();
        routes.slow_threshold(&rule.name, rule.objective)
    }

    /// Returns the expected processing time of a request in ms.
    pub(crate) fn processing_ms(&self, request: &OutboundRequest) -> f64 {
        let processing_ms = self.routes.borrow().processing_ms(&request.rule.name);
        processing_ms
            .unwrap_or_else(|| DEFAULT_PROCESSING_MS.min(request.rule.objective.as_f64() / 2.0))
    }

    /// Returns the time that must remain before the deadline of a request when it starts.
    pub(crate) fn tail_processing(&self, request: &OutboundRequest) -> ClockTime {
        ClockTime((self.processing_ms(request) * TAIL_FACTOR) as u64)
    }

    /// Returns the longest queue wait after which the request can still meet its objective.
    ///
    /// Longer queues do not increase throughput; they only make every request late. A request that
    /// can no longer meet its objective may wait for a fraction of it. A request shorter than the
    /// endpoint's mean may wait longer: it delays the others little, whereas refusing it may waste
    /// the longer work of its caller.
    fn max_wait(&self, request: &OutboundRequest, id: &EndpointId, now: ClockTime) -> ClockTime {
        let processing_ms = self.processing_ms(request);
        let objective = request.rule.objective.as_f64();
        let elapsed = (now - request.arrived).as_f64();
        let on_time = (objective - elapsed - processing_ms).max(objective * LATE_WAIT_RATIO);
        let left = (request.deadline - now).as_f64() - self.tail_processing(request).as_f64();
        let max_wait = on_time * self.short_request_factor(id, processing_ms);
        ClockTime(max_wait.min(left).max(0.0) as u64)
    }

    /// Returns the ready endpoint with the lowest cost, ignoring the excluded ones.
    pub(crate) fn lowest_cost_endpoint(
        &self,
        request: &OutboundRequest,
        excluded: &[EndpointId],
        now: ClockTime,
    ) -> Option<Rc<EndpointRecord>> {
        let directory = self.state.directory.borrow();
        let endpoints = self.endpoints.borrow();
        let processing_ms = self.processing_ms(request);
        let objective = request.rule.objective.as_f64();
        let mut best: Option<(f64, &Rc<EndpointRecord>)> = None;
        for record in directory.ready(&request.service) {
            if excluded.contains(&record.id) || self.exclusion(request, record).is_some() {
                continue;
            }
            let (latency_ms, distance) = self.network_defaults(record);
            let warm = directory.warm_up(&record.id, now) > ClockTime(0);
            let processing_ms = if warm {
                processing_ms * WARM_UP_SLOWDOWN_FACTOR
            } else {
                processing_ms
            };
            let forecast =
                endpoints.forecast(&record.id, now, processing_ms, latency_ms, record.capacity);
            // Random jitter, so that nodes with the same forecasts do not all select the same
            // endpoint.
            let time_ms = forecast.response_time_ms * rand::random_range(0.9..1.1);
            let overdue = self.pool.is_ping_overdue(self.node_address(record));
            let unresponsive = if overdue { UNRESPONSIVE_COST } else { 0.0 };
            let ejected = endpoints.is_ejected(&record.id, now);
            let ejection = if ejected { EJECTION_COST } else { 0.0 };
            // A request without homes makes way for those that no other region may serve.
            let scarcity = match request.rule.homes.is_unrestricted() {
                true => SCARCITY_COST * forecast.scarcity,
                false => 0.0,
            };
            let cost = latency_cost(time_ms, objective)
                + scarcity
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

    /// Returns the default network latency in ms and the distance cost of an endpoint.
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

/// Returns the cost of a mean response time of `time_ms`.
///
/// This is the probability that an exponentially distributed response time exceeds the objective,
/// plus a small term that is linear in the response time.
fn latency_cost(time_ms: f64, objective_ms: f64) -> f64 {
    let ratio = time_ms / objective_ms.max(1.0);
    (-1.0 / ratio.max(f64::EPSILON)).exp() + LATENCY_COST * ratio
}
