//! Load balancing: selection of an endpoint for each call.
//!
//! All types are state machines without clocks or sockets. The current time and a seeded random
//! number generator are passed in.

mod call_completion;
mod endpoint_choice;
mod endpoint_entry;
mod endpoint_policy;
mod endpoint_score;
mod endpoint_speed;
mod endpoint_table;
mod key_owner;
mod outlier_detector;
mod rendezvous_hash;
mod round_robin;

pub use call_completion::{CallCompletion, CompletionStatus};
pub use endpoint_choice::{EndpointChoice, EndpointTier};
pub use endpoint_entry::EndpointEntry;
pub use endpoint_policy::EndpointPolicy;
pub use endpoint_score::EndpointScore;
pub use endpoint_speed::EndpointSpeed;
pub use endpoint_table::EndpointTable;
pub use key_owner::KeyOwner;
pub use outlier_detector::OutlierDetector;
pub use round_robin::RoundRobin;
