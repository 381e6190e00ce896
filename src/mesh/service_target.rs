use serde::{Deserialize, Serialize};

use crate::id::ServiceName;

/// A target service of a route and its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTarget {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: u32,
}
