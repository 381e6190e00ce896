use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::mesh::{RouteKey, ServiceTarget};

/// Says how the requests of one host and path prefix are treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route in the configuration.
    pub name: String,
    /// Host that the requests name.
    pub host: String,
    /// Start of the path, which begins and ends with a slash.
    pub prefix: String,
    /// Services that run the requests; at least one.
    pub targets: SmallVec<[ServiceTarget; 2]>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time until the final answer.
    pub timeout: ClockTime,
    /// Time within which an answer is on time.
    pub objective: ClockTime,
    /// Number of endpoints that may run one request.
    pub max_attempts: u32,
    /// Rank of the requests; 0 goes first.
    pub priority: u8,
}

impl RouteRule {
    /// Returns the place of the route.
    #[must_use]
    pub fn key(&self) -> RouteKey {
        RouteKey {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }
}
