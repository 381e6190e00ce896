//! Metric instruments and their text exposition.

mod node_metrics;

pub use node_metrics::{LinkScope, NodeMetrics};
