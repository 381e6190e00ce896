use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::ServiceName;

/// What the configuration says about the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check.
    pub health_path: String,
    /// Time for which an endpoint is cold after its start.
    pub cold_start: ClockTime,
    /// Requests per second that a cold endpoint tolerates; `None` if it tolerates any number.
    pub cold_rate: Option<f64>,
}
