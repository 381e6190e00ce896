use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::KindName;

/// Describes one kind of request of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindEntry {
    /// Name within the service.
    pub name: KindName,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Value of one completed, timely request relative to other kinds.
    pub weight: u32,
    /// Default and longest deadline of a request.
    pub deadline: ClockTime,
    /// Whether requests hold a slot much longer than those of other kinds.
    pub long: bool,
    /// Fraction of requests that should complete in time, for the burn report.
    pub objective: f64,
}
