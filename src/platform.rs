//! Access to the platform: its configuration service and its instance list.

mod config_source;
mod http_platform;
mod instance_list;
mod instance_source;

pub use config_source::{ConfigRead, ConfigSource};
pub use http_platform::HttpPlatform;
pub use instance_list::{InstanceEntry, InstanceList, InstanceState};
pub use instance_source::InstanceSource;
