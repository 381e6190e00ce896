use serde::{Deserialize, Serialize};

/// Names the place of a route, which at most one route of a configuration has.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteKey {
    /// Host that the requests name.
    pub host: String,
    /// Start of the path.
    pub prefix: String,
}
