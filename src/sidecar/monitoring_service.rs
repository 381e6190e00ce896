use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, FutureExt, LocalBoxFuture};
use http::{Method, StatusCode};
use monoio::net::TcpListener;

use crate::caller::{HttpServer, RequestService, ServerLimits, StopSignal};
use crate::cold::ColdPhase;
use crate::memory::MemoryAccount;
use crate::metrics::GaugeValues;
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::node_state::NodeState;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Service for the readiness check of the platform and the metrics.
pub(crate) struct MonitoringService {
    pub(crate) ready_path: String,
    pub(crate) state: Rc<NodeState>,
    pub(crate) inbound: Rc<InboundService>,
    pub(crate) memory: Rc<MemoryAccount>,
}

impl MonitoringService {
    fn respond(&self, request: &http::Request<Bytes>) -> (StatusCode, Bytes) {
        let path = request.uri().path();
        if path != self.ready_path && path != METRICS_PATH {
            return (StatusCode::NOT_FOUND, Bytes::new());
        }
        if request.method() != Method::GET {
            return (StatusCode::METHOD_NOT_ALLOWED, Bytes::new());
        }
        if path == METRICS_PATH {
            return self.metrics();
        }
        let status = if self.state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, Bytes::new())
    }

    fn metrics(&self) -> (StatusCode, Bytes) {
        let config = self.state.config();
        let state = GaugeValues {
            config_version: config.map_or(0, |config| config.version().0),
            view_age: self.state.age().unwrap_or_default(),
            config_lag: self.state.config_lag().unwrap_or_default(),
            endpoints: self.state.directory.borrow().len(),
            outstanding: self.inbound.slots.load().outstanding,
            ready: self.state.is_ready(),
            evacuated_zones: self.state.evacuations.borrow().zones().count(),
            is_cold: self.inbound.room.phase() != ColdPhase::Warm,
            cold_requests: self.inbound.room.limited_count(),
            quarantined: self.state.quarantine.count(),
            endpoint_limit: self.inbound.pacer.advertised(),
            limited_requests: self.inbound.pacer.limited_count(),
            memory_used: self.memory.used(),
            memory_refused: self.memory.refused_count(),
            memory_evicted: self.memory.evicted_count(),
            displaced: self.inbound.slots.displaced_count(),
            client_connections: self.memory.connection_count(),
        };
        match self.state.metrics.exposition(state) {
            Ok(text) => (StatusCode::OK, Bytes::from(text)),
            Err(error) => {
                log::error!("event=metrics_failed cause=\"{error}\"");
                (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}

impl RequestService for MonitoringService {
    fn serve(&self, request: http::Request<Bytes>) -> LocalBoxFuture<'_, http::Response<Bytes>> {
        let (status, body) = self.respond(&request);
        let mut response = http::Response::new(body);
        *response.status_mut() = status;
        future::ready(response).boxed_local()
    }
}

/// Serves readiness and metrics on one listener until the stop signal is given.
pub(crate) async fn serve(listener: TcpListener, service: Rc<MonitoringService>, stop: StopSignal) {
    let server = HttpServer::new(service, ServerLimits::default());
    server.serve(listener, stop).await;
}
