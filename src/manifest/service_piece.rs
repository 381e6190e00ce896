use serde::{Deserialize, Serialize};

use crate::manifest::{RouteEntry, ServiceEntry};

/// Holds one service with all routes to it: the unit of transfer between nodes.
///
/// A route travels with its service, so a node never holds one without the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePiece {
    /// The service.
    pub service: ServiceEntry,
    /// Routes to the service, sorted by prefix, then method.
    pub routes: Vec<RouteEntry>,
}
