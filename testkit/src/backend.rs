//! Backend servers.

mod backend_fault;
mod backend_server;
mod backend_settings;
mod backend_state;
mod nest_rule;
mod work_rule;

pub use backend_fault::{BackendFault, BackendFaultMode};
pub use backend_server::BackendServer;
pub use backend_settings::BackendSettings;
pub use backend_state::BackendState;
pub use nest_rule::NestRule;
pub use work_rule::WorkRule;
