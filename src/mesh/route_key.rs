use serde::{Deserialize, Serialize};

/// The host and path prefix of a route, which are unique within a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host of the requests.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
}
