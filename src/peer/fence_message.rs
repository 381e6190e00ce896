use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{RequestKey, ServiceName};

/// Asks an endpoint's node whether a key has run there, and to refuse older attempts if not.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FenceRequest {
    /// Service that the key belongs to.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: RequestKey,
    /// Token of the asking attempt; attempts with smaller tokens are refused from then on.
    pub token: u64,
    /// Age of the first attempt.
    pub age: ClockTime,
}

/// Answers a [`FenceRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceReply {
    /// The key has not run here and smaller tokens are refused from now on.
    Fenced,
    /// The key ran here; a call with it replays the recorded answer.
    Finished,
    /// The key is running here.
    Running,
    /// The key was cut off here after it was written to the backend server.
    Unknown,
    /// A larger token holds the key.
    Superseded,
    /// The node has not been up long enough to tell, or does not serve the service.
    Undetermined,
}
