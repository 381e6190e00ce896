//! The choice of an endpoint for a call.
//!
//! All types are state machines without clocks or sockets: callers pass the time and a seeded
//! random generator.

mod call_completion;
mod endpoint_choice;
mod endpoint_entry;
mod endpoint_policy;
mod endpoint_score;
mod endpoint_table;
mod outlier_detector;
mod rendezvous_hash;
mod round_robin;

pub use call_completion::{CallCompletion, CompletionStatus};
pub use endpoint_choice::{EndpointChoice, EndpointTier};
pub use endpoint_entry::EndpointEntry;
pub use endpoint_policy::EndpointPolicy;
pub use endpoint_score::EndpointScore;
pub use endpoint_table::EndpointTable;
pub use outlier_detector::OutlierDetector;
pub use round_robin::RoundRobin;
