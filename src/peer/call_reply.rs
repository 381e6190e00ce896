use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::version::VersionStamp;

/// Heads the answer to a call between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallReply {
    /// Result code; `Ok` for every whole answer of the backend server.
    pub code: ResultCode,
    /// HTTP status of the answer.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Time after which another attempt is welcome, for refusals.
    pub retry_after: Option<ClockTime>,
    /// Calls running and queued at the endpoint, per slot, in thousandths.
    pub load: u32,
    /// Version in force at the answering node.
    pub stamp: VersionStamp,
    /// Length of the body in bytes.
    pub body_length: u64,
}
