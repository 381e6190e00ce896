//! The sidecar node of an endpoint: accepts requests from clients and forwards them to endpoints.

mod ahead_budget;
mod attempt_outcome;
mod attempt_sender;
mod body_budget;
mod call_id;
mod call_table;
mod client_response;
mod client_server;
mod client_session;
mod compressed_config;
mod dispatch_state;
mod dispatcher;
mod endpoint_client;
mod endpoint_stats;
mod forward_handler;
mod forward_message;
mod fresh_peers;
mod header_names;
mod inbound_service;
mod load_balancer;
mod mesh_bounds;
mod mesh_sync_task;
mod mesh_updater;
mod monitoring_service;
mod node_queries;
mod node_state;
mod outbound_request;
mod peer_clock;
mod pending_request;
mod platform_adapter;
mod reader_state;
mod refresh_plan;
mod registry_reads;
mod reload_signal;
mod reload_task;
mod request_parser;
mod request_pipeline;
mod request_receiver;
mod retry_budgets;
mod route_stats;
mod run;
mod running_node;
mod service_retry_budget;
mod sidecar_settings;
mod slot_queue;
mod slot_semaphore;
mod stop_schedule;
mod target_picker;
mod view_client;
mod view_message;
mod view_service;
mod view_time;
mod view_tree;
mod view_trees;

pub use fresh_peers::FreshPeers;
pub use header_names::HeaderNames;
pub use mesh_bounds::MeshBounds;
pub use peer_clock::{PeerClock, RemoteTime};
pub use platform_adapter::PlatformAdapter;
pub use reader_state::ReaderState;
pub use refresh_plan::{
    PlannedSource, RefreshPlan, RefreshState, ViewSource, plan_refresh, refresh_limit,
};
pub use request_pipeline::{
    PipelineLimits, PipelineTicket, PipelinedRequest, RequestPipeline, StartedRequest,
};
pub use run::run;
pub use service_retry_budget::{RetryAllowance, ServiceRetryBudget};
pub use sidecar_settings::SidecarSettings;
pub use slot_queue::{SlotDecision, SlotQueue, SlotTicket, SlotUrgency};
pub use stop_schedule::{LateRequest, StopSchedule};
pub use target_picker::TargetPicker;
pub use view_time::earliest_read_time;
pub use view_tree::ViewTree;
