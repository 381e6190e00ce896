//! Emulator of a backend server.

mod backend_fault;
mod backend_server;
mod backend_settings;
mod backend_state;
mod nested_call_rule;
mod service_time_rule;

pub use backend_fault::{BackendFault, BackendFaultMode};
pub use backend_server::BackendServer;
pub use backend_settings::BackendSettings;
pub use backend_state::BackendState;
pub use nested_call_rule::NestedCallRule;
pub use service_time_rule::ServiceTimeRule;
