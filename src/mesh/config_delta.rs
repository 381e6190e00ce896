use serde::{Deserialize, Serialize};

use crate::mesh::{ClientLimits, ConfigVersion, RouteKey, RouteRule, ServiceSpec};

/// The changes from one configuration to a later one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// Version to which the delta applies.
    pub base: ConfigVersion,
    /// Version that results from the delta.
    pub version: ConfigVersion,
    /// Client limits of the resulting version.
    pub limits: ClientLimits,
    /// Rules of the added and replaced routes.
    pub changed: Vec<RouteRule>,
    /// Keys of the removed routes.
    pub removed: Vec<RouteKey>,
    /// All services of the resulting version.
    pub services: Vec<ServiceSpec>,
}
