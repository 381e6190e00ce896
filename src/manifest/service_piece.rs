use serde::{Deserialize, Serialize};

use crate::manifest::{RouteEntry, ServiceEntry};

/// One service with all of its routes: the unit of transfer between nodes.
///
/// A route is transferred together with its service, so a node never has one without the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePiece {
    /// Definition of the service.
    pub service: ServiceEntry,
    /// Routes to the service, sorted by prefix, then method.
    pub routes: Vec<RouteEntry>,
}
