use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::size::ByteSize;

/// Bounds what a client may send, and how long it may take or stay idle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Largest request head.
    pub head_size: ByteSize,
    /// Largest request body.
    pub body_size: ByteSize,
    /// Time from the first byte of a head to its end.
    pub head_time: ClockTime,
    /// Time after which a connection without a request is closed.
    pub idle_time: ClockTime,
}
