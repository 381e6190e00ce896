//! Settings of a node, read from a TOML file.

mod node_settings;

pub use node_settings::{
    BackendSettings, CallSettings, ListenSettings, NodeSettings, PlacementSettings,
    PlatformSettings,
};
