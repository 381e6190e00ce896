//! Emulator of the platform: configuration service and instance list.

mod call_counts;
mod config_service;
mod platform_fault;
mod value_history;

pub use call_counts::CallCounts;
pub use config_service::ConfigService;
pub use platform_fault::{FaultTarget, PlatformFault, PlatformFaultMode};
pub use value_history::ValueHistory;
