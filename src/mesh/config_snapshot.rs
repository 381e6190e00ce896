use serde::{Deserialize, Serialize};

use crate::mesh::{ClientLimits, ConfigVersion, RouteRule, ServiceSpec};

/// The full content of a configuration, as exchanged between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits for client connections.
    pub limits: ClientLimits,
    /// Rules of all routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceSpec>,
}
