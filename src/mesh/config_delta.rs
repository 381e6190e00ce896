use serde::{Deserialize, Serialize};

use crate::mesh::{ClientLimits, ConfigVersion, RouteKey, RouteRule};

/// Is what changed from one configuration to a later one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version that the changes apply to.
    pub base: ConfigVersion,
    /// Version that they lead to.
    pub version: ConfigVersion,
    /// Limits for clients in the later version.
    pub limits: ClientLimits,
    /// Routes that were added or replaced.
    pub changed: Vec<RouteRule>,
    /// Routes that were removed.
    pub removed: Vec<RouteKey>,
}
