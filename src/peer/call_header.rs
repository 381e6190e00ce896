use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress, RequestKey, ServiceName};
use crate::version::VersionStamp;

/// Describes a call that one node hands to the node beside the chosen endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallHeader {
    /// Node that sends the call.
    pub sender: NodeAddress,
    /// Service that the call is for; a node beside another service refuses it.
    pub service: ServiceName,
    /// Kind within the service.
    pub kind: KindName,
    /// Weight of the kind in the sender's version.
    pub weight: u32,
    /// Whether the kind is long in the sender's version.
    pub long: bool,
    /// Whether the kind is idempotent in the sender's version.
    pub idempotent: bool,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Idempotency key; always present for kinds that are not idempotent.
    pub key: Option<RequestKey>,
    /// Whether the key was made by the entry node for this call alone.
    pub generated_key: bool,
    /// Fence token; zero for a first attempt.
    pub token: u64,
    /// Time since the entry node received the request, when the header was written.
    pub elapsed: ClockTime,
    /// Time left when the header was written.
    pub remaining: ClockTime,
    /// Version that the sender resolved the call against.
    pub stamp: VersionStamp,
    /// Depth of the call.
    pub depth: u8,
    /// Number of resends so far.
    pub attempt: u8,
    /// Length of the body in bytes.
    pub body_length: u64,
}
