//! Settings of a node, read from a TOML file and validated before the node starts.

mod backend_settings;
mod burn_settings;
mod call_settings;
mod listen_settings;
mod node_settings;
mod placement_settings;
mod platform_settings;
mod setting_table;

pub use backend_settings::BackendSettings;
pub use burn_settings::BurnSettings;
pub use call_settings::CallSettings;
pub use listen_settings::ListenSettings;
pub use node_settings::NodeSettings;
pub use placement_settings::PlacementSettings;
pub use platform_settings::PlatformSettings;

use setting_table::SettingTable;
