use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::homes::HomeRegions;
use crate::mesh::{RouteKey, ServiceTarget};

/// The routing rule for the requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route in the configuration.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Services that run the requests; at least one.
    pub targets: SmallVec<[ServiceTarget; 2]>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time limit for the final response.
    pub timeout: ClockTime,
    /// Response time objective; a later response counts as late.
    pub objective: ClockTime,
    /// Maximum number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Regions in which the requests may be served.
    pub homes: HomeRegions,
}

impl RouteRule {
    /// Returns the key of the route.
    #[must_use]
    pub fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }
}
