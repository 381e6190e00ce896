use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::size::ByteSize;

/// Size and time limits for client connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub head_size: ByteSize,
    /// Maximum size of a request body.
    pub body_size: ByteSize,
    /// Maximum time to receive a request head.
    pub head_time: ClockTime,
    /// Time after which an idle connection is closed.
    pub idle_time: ClockTime,
}
