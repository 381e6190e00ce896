//! Reads of the registry by this node: why and when they are made, and their trace in logs and metrics.

mod read_reason;
mod read_trace;

pub use read_reason::ReadReason;
pub(crate) use read_trace::ReadTrace;
