use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey, ServiceName};
use crate::version::VersionStamp;

/// Head of a call that a node sends to the node of the chosen endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallHeader {
    /// Node that sends the call.
    pub sender: NodeAddress,
    /// Called service; a node of another service refuses the call.
    pub service: ServiceName,
    /// Kind of the call within the service.
    pub kind: KindName,
    /// Weight of the kind in the sender's version.
    pub weight: u32,
    /// Whether the kind is long in the sender's version.
    pub long: bool,
    /// Whether the kind is idempotent in the sender's version.
    pub idempotent: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Idempotency key; always present for non-idempotent kinds.
    pub key: Option<RequestKey>,
    /// Whether the entry node generated the key for this call.
    pub generated_key: bool,
    /// Fencing token; zero for a first attempt.
    pub token: u64,
    /// Time from the receipt of the request by the entry node to the writing of this header.
    pub elapsed: ClockTime,
    /// Time to the deadline when this header was written.
    pub remaining: ClockTime,
    /// Version with which the sender resolved the call.
    pub stamp: VersionStamp,
    /// Nesting depth of the call.
    pub depth: u8,
    /// Number of resends so far.
    pub attempt: u8,
    /// Length of the body in bytes.
    pub body_length: u64,
}
