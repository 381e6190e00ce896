use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

use crate::burn::BurnReport;
use crate::error::{Result, ResultCode};
use crate::id::{KindName, ServiceName};
use crate::metrics::instruments::{self, counter, gauge};

/// Upper bounds of the latency histogram in seconds, with a bound at the latency target of
/// 1.7 ms.
const LATENCY_BOUNDS: [f64; 12] = [
    0.0005, 0.001, 0.0017, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0,
];

/// Upper bounds of the slot wait histogram in seconds; the highest covers the deadlines of long
/// kinds.
const WAIT_BOUNDS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Network scope of a control link, used as a label of its byte counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkScope {
    /// Link within an availability zone.
    Zone,
    /// Link to another zone of the same region.
    Region,
    /// Link between regions, whose traffic is charged.
    InterRegion,
}

impl LinkScope {
    fn label(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::InterRegion => "paid",
        }
    }
}

/// Metric instruments of a node.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    call_duration: Histogram<f64>,
    queue_wait: Histogram<f64>,
    resends: Counter<u64>,
    control_bytes: Counter<u64>,
    platform_reads: Counter<u64>,
    version_events: Counter<u64>,
    pauses: Counter<u64>,
    version_number: Gauge<u64>,
    version_installed: Gauge<f64>,
    burn_rate: Gauge<f64>,
    budget_left: Gauge<f64>,
    ready: Gauge<u64>,
    members: Gauge<u64>,
    links: Gauge<u64>,
    slots_running: Gauge<u64>,
    queue_length: Gauge<u64>,
}

impl NodeMetrics {
    /// Creates the instruments on a separate registry.
    ///
    /// # Errors
    ///
    /// Returns `PlatformInvalid` if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let (registry, provider, meter) = instruments::create_registry()?;
        Ok(Self {
            calls: counter(&meter, "endive_calls", "Calls from callers by result code"),
            call_duration: instruments::duration_histogram(
                &meter,
                "endive_call_duration",
                "Time from the request to the whole answer",
                &LATENCY_BOUNDS,
            ),
            queue_wait: instruments::duration_histogram(
                &meter,
                "endive_queue_wait",
                "Time that calls waited for a slot",
                &WAIT_BOUNDS,
            ),
            resends: counter(&meter, "endive_resends", "Retries and hedges"),
            control_bytes: meter
                .u64_counter("endive_control")
                .with_description("Bytes on control links by direction and scope")
                .with_unit("By")
                .build(),
            platform_reads: counter(&meter, "endive_platform_reads", "Calls of the platform"),
            version_events: counter(
                &meter,
                "endive_version_events",
                "Versions installed, refused, conflicting or stale",
            ),
            pauses: counter(&meter, "endive_pauses", "Pauses of the process detected"),
            version_number: gauge(
                &meter,
                "endive_version_number",
                "Number of the version in force",
            ),
            version_installed: meter
                .f64_gauge("endive_version_installed_timestamp")
                .with_description("Wall-clock time at which the version came in force here")
                .with_unit("s")
                .build(),
            burn_rate: meter
                .f64_gauge("endive_burn_rate")
                .with_description("Share of bad calls over the share that the objective allows")
                .build(),
            budget_left: meter
                .f64_gauge("endive_error_budget_left")
                .with_description("Share of the error budget of the long window that is left")
                .build(),
            ready: gauge(&meter, "endive_ready", "1 if the node serves calls"),
            members: gauge(&meter, "endive_members", "Live members known"),
            links: gauge(&meter, "endive_links", "Control links open"),
            slots_running: gauge(
                &meter,
                "endive_slots_running",
                "Calls on the backend server",
            ),
            queue_length: gauge(&meter, "endive_queue_length", "Calls that wait for a slot"),
            registry,
            _provider: provider,
        })
    }

    /// Records a call from a caller and its duration in milliseconds.
    pub fn record_call(
        &self,
        service: &ServiceName,
        kind: &KindName,
        code: ResultCode,
        duration_ms: f64,
    ) {
        let service = KeyValue::new("service", service.to_string());
        let kind = KeyValue::new("kind", kind.to_string());
        let code = KeyValue::new("code", i64::from(code.number()));
        self.calls.add(1, &[service.clone(), kind.clone(), code]);
        self.call_duration
            .record(duration_ms / 1_000.0, &[service, kind]);
    }

    /// Records the time in milliseconds that a call waited for a slot of the backend server.
    ///
    /// Waits of short kinds that grow with the number of long calls indicate head-of-line blocking.
    pub fn record_queue_wait(&self, kind: &KindName, long: bool, wait_ms: f64) {
        let labels = [
            KeyValue::new("kind", kind.to_string()),
            KeyValue::new("long", long),
        ];
        self.queue_wait.record(wait_ms / 1_000.0, &labels);
    }

    /// Counts a retry or a hedge.
    pub fn record_resend(&self, reason: &'static str) {
        self.resends.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts the bytes sent and received on control links.
    pub fn record_control_bytes(&self, scope: LinkScope, sent: u64, received: u64) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let labels = [
                KeyValue::new("direction", direction),
                KeyValue::new("scope", scope.label()),
            ];
            self.control_bytes.add(bytes, &labels);
        }
    }

    /// Counts a read of the platform; `target` is `manifest` or `instances`.
    pub fn record_platform_read(&self, target: &'static str, result: &'static str) {
        let labels = [
            KeyValue::new("target", target),
            KeyValue::new("result", result),
        ];
        self.platform_reads.add(1, &labels);
    }

    /// Counts a version event: `installed`, `refused`, `conflict` or `stale`.
    pub fn record_version_event(&self, event: &'static str) {
        self.version_events.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts a detected pause of the process.
    pub fn record_pause(&self) {
        self.pauses.add(1, &[]);
    }

    /// Sets the number of the version in force and the wall-clock time of its installation in
    /// milliseconds.
    pub fn set_version(&self, number: u64, wall_ms: u64) {
        self.version_number.record(number, &[]);
        self.version_installed.record(wall_ms as f64 / 1_000.0, &[]);
    }

    /// Sets the burn rates and the remaining error budgets from a report.
    pub fn set_burn(&self, report: &BurnReport) {
        for row in &report.rows {
            let service = KeyValue::new("service", row.service.to_string());
            let kind = KeyValue::new("kind", row.kind.to_string());
            for (window, rate) in [
                ("short", row.short_burn_rate()),
                ("long", row.long_burn_rate()),
            ] {
                let window = KeyValue::new("window", window);
                self.burn_rate
                    .record(rate, &[service.clone(), kind.clone(), window]);
            }
            self.budget_left.record(row.budget_left(), &[service, kind]);
        }
    }

    /// Sets whether the node serves calls.
    pub fn set_ready(&self, ready: bool) {
        self.ready.record(u64::from(ready), &[]);
    }

    /// Sets the numbers of live members and open control links.
    pub fn set_fleet(&self, members: usize, links: usize) {
        self.members.record(members as u64, &[]);
        self.links.record(links as u64, &[]);
    }

    /// Sets the numbers of running and queued calls at the backend server.
    pub fn set_slots(&self, running: usize, queued: usize) {
        self.slots_running.record(running as u64, &[]);
        self.queue_length.record(queued as u64, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns `PlatformInvalid` if the registry cannot be encoded.
    pub fn exposition(&self) -> Result<String> {
        instruments::exposition(&self.registry)
    }
}
