use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

use crate::clock::ClockTime;
use crate::error::{Result, ResultCode};
use crate::metrics::instruments;
use crate::rate_limit::RequestRate;
use crate::size::ByteSize;

/// Upper bounds of the histograms in seconds, dense around latency objectives of 0.1 to 1 s.
const DURATION_BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0,
];

/// Metric instruments of a sidecar.
#[derive(Debug)]
pub struct SidecarMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_duration: Histogram<f64>,
    attempts: Counter<u64>,
    rejections: Counter<u64>,
    endpoint_statuses: Counter<u64>,
    invalid_limits: Counter<u64>,
    resends: Counter<u64>,
    held_bodies: Counter<u64>,
    requests_ahead: Counter<u64>,
    responses_held: Counter<u64>,
    slot_wait: Histogram<f64>,
    registry_reads: Counter<u64>,
    registry_bytes: Counter<u64>,
    registry_restores: Counter<u64>,
    view_queries: Counter<u64>,
    endpoint_events: Counter<u64>,
    config_version: Gauge<u64>,
    view_age: Gauge<f64>,
    config_lag: Gauge<f64>,
    endpoints: Gauge<u64>,
    outstanding: Gauge<u64>,
    ready: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    cold: Gauge<u64>,
    cold_requests: Gauge<u64>,
    quarantined: Gauge<u64>,
    endpoint_limit: Gauge<f64>,
    limited_requests: Gauge<u64>,
    memory_used: Gauge<u64>,
    memory_refused: Gauge<u64>,
    memory_evicted: Gauge<u64>,
    client_connections: Gauge<u64>,
    displaced: Gauge<u64>,
}

/// Values of the gauges of a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct GaugeValues {
    /// Number of the configuration in force, or 0 if there is none.
    pub config_version: u64,
    /// Time since the registry last confirmed the view.
    pub view_age: ClockTime,
    /// Time since the node has known of changes that its configuration lacks.
    pub config_lag: ClockTime,
    /// Number of known endpoints.
    pub endpoints: usize,
    /// Number of requests that run or wait at the sidecar's own endpoint.
    pub outstanding: u32,
    /// Whether new clients should use the sidecar.
    pub ready: bool,
    /// Number of availability zones that are evacuated.
    pub evacuated_zones: usize,
    /// Whether the sidecar's own endpoint is cold or suspected to be.
    pub is_cold: bool,
    /// Requests that were sent to the own endpoint while it was cold or suspected to be.
    pub cold_requests: u64,
    /// Requests that are kept from endpoints since they have crashed some.
    pub quarantined: usize,
    /// Rate limit that the own endpoint advertises.
    pub endpoint_limit: Option<RequestRate>,
    /// Requests that were sent to the own endpoint while it advertised a limit.
    pub limited_requests: u64,
    /// Bytes that messages claim in the account of memory.
    pub memory_used: u64,
    /// Messages that were refused for lack of memory.
    pub memory_refused: u64,
    /// Incomplete messages that gave way to others.
    pub memory_evicted: u64,
    /// Open connections of clients.
    pub client_connections: usize,
    /// Queued requests that were turned away for others at the own endpoint.
    pub displaced: u64,
}

impl SidecarMetrics {
    /// Creates the instruments on a separate registry.
    ///
    /// # Errors
    ///
    /// Returns `PlatformInvalid` if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let (registry, provider, meter) = instruments::create_registry()?;
        let counter = |name, description| instruments::counter(&meter, name, description);
        let gauge = |name, description| instruments::gauge(&meter, name, description);
        let duration = |name, description| {
            instruments::duration_histogram(&meter, name, description, &DURATION_BOUNDS)
        };
        Ok(Self {
            requests: counter("endive_requests", "Requests of clients by result code"),
            request_duration: duration(
                "endive_request_duration",
                "Time from the head of a request to its final answer",
            ),
            attempts: counter("endive_attempts", "Requests at the endpoint by result code"),
            rejections: counter(
                "endive_rejections",
                "Responses of the node itself with status 4xx by result code",
            ),
            endpoint_statuses: counter(
                "endive_endpoint_statuses",
                "Responses of the endpoint with status 3xx or 4xx by status and proof",
            ),
            invalid_limits: counter(
                "endive_invalid_limits",
                "Responses of the endpoint with a rate limit that is not a rate",
            ),
            resends: counter("endive_repeats", "Requests sent to a further endpoint"),
            held_bodies: counter(
                "endive_held_bodies",
                "Requests whose body waits until the endpoint has room",
            ),
            requests_ahead: counter(
                "endive_requests_ahead",
                "Pipelined requests that started before an earlier one had its response",
            ),
            responses_held: counter(
                "endive_responses_held",
                "Responses that waited for an earlier one of their connection",
            ),
            slot_wait: duration("endive_slot_wait", "Time that requests waited for a slot"),
            registry_reads: counter("endive_registry_reads", "Reads of the registry by result"),
            registry_bytes: counter(
                "endive_registry_bytes",
                "Bytes of complete responses of the registry by reason of the read",
            ),
            registry_restores: counter(
                "endive_registry_restores",
                "Restores of the registry by source",
            ),
            view_queries: counter(
                "endive_view_questions",
                "Questions to other nodes for their view by result",
            ),
            endpoint_events: counter(
                "endive_endpoint_events",
                "Endpoints that became ready, draining, missing or gone",
            ),
            config_version: gauge("endive_config_version", "Configuration in force"),
            view_age: meter
                .f64_gauge("endive_view_age")
                .with_description("Time since the registry confirmed the view")
                .with_unit("s")
                .build(),
            config_lag: meter
                .f64_gauge("endive_config_lag")
                .with_description("Time since the node has known of a later configuration")
                .with_unit("s")
                .build(),
            endpoints: gauge("endive_endpoints", "Endpoints known"),
            outstanding: gauge(
                "endive_outstanding",
                "Requests that run or wait at the endpoint beside the node",
            ),
            ready: gauge("endive_ready", "1 if new clients should use the node"),
            evacuated_zones: gauge(
                "endive_evacuated_zones",
                "Availability zones to whose endpoints nothing is sent",
            ),
            cold: gauge(
                "endive_cold",
                "1 if the endpoint beside the node is cold or may be",
            ),
            cold_requests: gauge(
                "endive_cold_requests",
                "Requests sent to the endpoint beside the node while it was cold",
            ),
            quarantined: gauge(
                "endive_quarantined",
                "Requests that are kept from endpoints since they have crashed some",
            ),
            endpoint_limit: meter
                .f64_gauge("endive_endpoint_limit")
                .with_description("Requests per second that the endpoint accepts; -1 if unlimited")
                .build(),
            limited_requests: gauge(
                "endive_limited_requests",
                "Requests sent to the endpoint beside the node while it advertised a limit",
            ),
            memory_used: gauge("endive_memory_used", "Bytes that messages claim"),
            memory_refused: gauge(
                "endive_memory_refused",
                "Messages that were refused for lack of memory",
            ),
            memory_evicted: gauge(
                "endive_memory_evicted",
                "Incomplete messages that gave way to others",
            ),
            client_connections: gauge("endive_client_connections", "Connections of clients"),
            displaced: gauge(
                "endive_displaced",
                "Queued requests that were turned away for others",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Records a request of a client and its duration.
    pub fn record_request(&self, idempotent: bool, code: ResultCode, duration: ClockTime) {
        let idempotent = KeyValue::new("idempotent", idempotent);
        let labels = [idempotent.clone(), code_label(code)];
        self.requests.add(1, &labels);
        self.request_duration
            .record(duration.as_f64() / 1_000.0, &[idempotent]);
    }

    /// Counts a request that reached the endpoint's own sidecar.
    pub fn record_attempt(&self, code: ResultCode) {
        self.attempts.add(1, &[code_label(code)]);
    }

    /// Counts a response by which this node itself states that a request is wrong.
    pub fn record_rejection(&self, code: ResultCode) {
        self.rejections.add(1, &[code_label(code)]);
    }

    /// Counts a response of the own endpoint with status 3xx or 4xx, with or without proof that the
    /// endpoint produced it.
    pub fn record_endpoint_status(&self, status: u16, proven: bool) {
        let labels = [
            KeyValue::new("status", i64::from(status)),
            KeyValue::new("proven", proven),
        ];
        self.endpoint_statuses.add(1, &labels);
    }

    /// Counts a response of the own endpoint whose rate limit cannot be used.
    pub fn record_invalid_limit(&self) {
        self.invalid_limits.add(1, &[]);
    }

    /// Counts a retry or a hedge by its reason.
    pub fn record_resend(&self, reason: &'static str) {
        self.resends.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request whose body is sent only when the endpoint has room.
    pub fn record_held_body(&self) {
        self.held_bodies.add(1, &[]);
    }

    /// Counts a pipelined request that starts before an earlier one has its response.
    pub fn record_request_ahead(&self) {
        self.requests_ahead.add(1, &[]);
    }

    /// Counts a response that waits for an earlier one of its connection.
    pub fn record_response_held(&self) {
        self.responses_held.add(1, &[]);
    }

    /// Records the time that a request waited for a slot.
    pub fn record_slot_wait(&self, wait: ClockTime) {
        self.slot_wait.record(wait.as_f64() / 1_000.0, &[]);
    }

    /// Counts a read of the registry by its result.
    pub fn record_registry_read(&self, result: &'static str) {
        let labels = [KeyValue::new("result", result)];
        self.registry_reads.add(1, &labels);
    }

    /// Counts the bytes of complete responses of the registry by the reason of the read.
    pub fn record_registry_bytes(&self, size: ByteSize, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.registry_bytes.add(size.0, &labels);
    }

    /// Counts a restore of the registry by its source.
    pub fn record_registry_restore(&self, source: &'static str) {
        let labels = [KeyValue::new("source", source)];
        self.registry_restores.add(1, &labels);
    }

    /// Counts a query for the view of another node by its result.
    pub fn record_view_query(&self, result: &'static str) {
        let labels = [KeyValue::new("result", result)];
        self.view_queries.add(1, &labels);
    }

    /// Counts a change in the known state of an endpoint.
    pub fn record_endpoint_event(&self, event: &'static str) {
        self.endpoint_events
            .add(1, &[KeyValue::new("event", event)]);
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns `PlatformInvalid` if the registry cannot be encoded.
    pub fn exposition(&self, values: GaugeValues) -> Result<String> {
        self.config_version.record(values.config_version, &[]);
        self.view_age
            .record(values.view_age.as_f64() / 1_000.0, &[]);
        self.config_lag
            .record(values.config_lag.as_f64() / 1_000.0, &[]);
        self.endpoints.record(values.endpoints as u64, &[]);
        self.outstanding.record(u64::from(values.outstanding), &[]);
        self.ready.record(u64::from(values.ready), &[]);
        self.evacuated_zones
            .record(values.evacuated_zones as u64, &[]);
        self.cold.record(u64::from(values.is_cold), &[]);
        self.cold_requests.record(values.cold_requests, &[]);
        self.quarantined.record(values.quarantined as u64, &[]);
        let limit = values.endpoint_limit.map_or(-1.0, RequestRate::per_second);
        self.endpoint_limit.record(limit, &[]);
        self.limited_requests.record(values.limited_requests, &[]);
        self.memory_used.record(values.memory_used, &[]);
        self.memory_refused.record(values.memory_refused, &[]);
        self.memory_evicted.record(values.memory_evicted, &[]);
        self.displaced.record(values.displaced, &[]);
        self.client_connections
            .record(values.client_connections as u64, &[]);
        instruments::exposition(&self.registry)
    }
}

fn code_label(code: ResultCode) -> KeyValue {
    KeyValue::new("code", i64::from(code.number()))
}
