use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::KindName;

/// A kind of request of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KindEntry {
    /// Name, unique within the service.
    pub name: KindName,
    /// Whether executing a request twice has the same effect as executing it once.
    pub idempotent: bool,
    /// Value of a request completed in time, relative to other kinds.
    pub weight: u32,
    /// Default and maximum deadline of a request.
    pub deadline: ClockTime,
    /// Whether requests occupy a slot much longer than those of other kinds.
    pub long: bool,
    /// Target fraction of requests completed in time, used by the burn rate report.
    pub objective: f64,
}
