use serde::{Deserialize, Serialize};

use crate::id::{KindName, ServiceName};

/// Maps requests by method and path prefix to a service and a kind.
///
/// The longest matching prefix wins; a prefix matches whole path segments only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, starting with `/`.
    pub prefix: String,
    /// Service that serves the request.
    pub service: ServiceName,
    /// Kind of the request within the service.
    pub kind: KindName,
}
