//! The node beside an endpoint: takes requests from clients and carries them to endpoints.

mod answer;
mod call_id;
mod call_table;
mod client_server;
mod client_session;
mod dispatcher;
mod endpoint_client;
mod endpoint_stats;
mod entry_request;
mod exit_service;
mod forward_message;
mod forward_streams;
mod header_names;
mod mesh_bounds;
mod node_state;
mod ready_server;
mod registry_task;
mod repeat_budget;
mod request_parser;
mod route_stats;
mod run;
mod sidecar_settings;
mod slot_gate;
mod slot_queue;
mod target_picker;

pub use header_names::HeaderNames;
pub use mesh_bounds::MeshBounds;
pub use repeat_budget::{RepeatAllowance, RepeatBudget};
pub use run::run;
pub use sidecar_settings::SidecarSettings;
pub use slot_queue::{SlotDecision, SlotQueue, SlotTicket, SlotUrgency};
pub use target_picker::TargetPicker;
