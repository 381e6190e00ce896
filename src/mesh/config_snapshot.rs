use serde::{Deserialize, Serialize};

use crate::mesh::{ClientLimits, ConfigVersion, RouteRule};

/// Is the content of a configuration as nodes exchange it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// All routes.
    pub routes: Vec<RouteRule>,
}
