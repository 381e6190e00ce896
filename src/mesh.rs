//! Data model of the mesh as nodes see it: the installed configuration and the endpoints of each
//! service.

mod change_log;
mod client_limits;
mod config_delta;
mod config_history;
mod config_snapshot;
mod config_version;
mod directory_delta;
mod directory_event;
mod endpoint_record;
mod history_position;
mod mesh_config;
mod registry_outage;
mod registry_read;
mod registry_source;
mod route_key;
mod route_rule;
mod service_directory;
mod service_spec;
mod service_target;
mod tombstones;

pub use client_limits::ClientLimits;
pub use config_delta::ConfigDelta;
pub use config_history::ConfigHistory;
pub use config_snapshot::ConfigSnapshot;
pub use config_version::ConfigVersion;
pub use directory_delta::DirectoryDelta;
pub use directory_event::DirectoryEvent;
pub use endpoint_record::{EndpointRecord, EndpointState};
pub use history_position::{HistoryEra, HistoryPosition};
pub use mesh_config::MeshConfig;
pub use registry_outage::{RegistryOutage, kept_until};
pub use registry_read::{ConfigRead, RegistryChange, RegistryRead};
pub use registry_source::RegistrySource;
pub use route_key::RouteKey;
pub use route_rule::RouteRule;
pub use service_directory::ServiceDirectory;
pub use service_spec::ServiceSpec;
pub use service_target::ServiceTarget;
