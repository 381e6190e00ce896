use serde::{Deserialize, Serialize};

use crate::id::{KindName, ServiceName};

/// Mapping of requests with a method and path prefix to a service and request kind.
///
/// The longest matching prefix takes precedence. Prefixes match whole path segments only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, starting with `/`.
    pub prefix: String,
    /// Service that handles the request.
    pub service: ServiceName,
    /// Kind of the request within the service.
    pub kind: KindName,
}
