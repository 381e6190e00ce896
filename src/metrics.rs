//! Metric instruments and their text exposition.

mod instruments;
mod node_metrics;
mod sidecar_metrics;

pub use node_metrics::{LinkScope, NodeMetrics};
pub use sidecar_metrics::{GaugeValues, SidecarMetrics};
