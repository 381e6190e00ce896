//! Metric instruments and their exposition in the Prometheus text format.

mod instruments;
mod node_metrics;
mod sidecar_metrics;

pub use node_metrics::{LinkScope, NodeMetrics};
pub use sidecar_metrics::{GaugeValues, SidecarMetrics};
