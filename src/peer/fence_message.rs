use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{RequestKey, ServiceName};

/// Request to the node of an endpoint to report whether a key has run there and, if it has not, to
/// refuse older attempts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FenceRequest {
    /// Service that the key belongs to.
    pub service: ServiceName,
    /// Idempotency key.
    pub key: RequestKey,
    /// Fencing token of the requesting attempt; smaller tokens are refused afterwards.
    pub token: u64,
    /// Time since the first attempt.
    pub age: ClockTime,
}

/// Response to a [`FenceRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceResponse {
    /// The key has not run here, and smaller tokens are refused from now on.
    Fenced,
    /// The key has run here; a call with it replays the recorded response.
    Finished,
    /// The key is running here.
    Running,
    /// The call with the key was interrupted after it was written to the backend server.
    Unknown,
    /// The key is held by an attempt with a larger token.
    Superseded,
    /// The node has not been running long enough to know, or does not serve the service.
    Undetermined,
}
