use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::version::VersionStamp;

/// Head of the response to a call between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallResponseHeader {
    /// Result code; `Ok` for every complete response of the backend server.
    pub code: ResultCode,
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Time after which a refused call may be retried.
    pub retry_after: Option<ClockTime>,
    /// Running and queued calls for each slot of the endpoint, in thousandths.
    pub load: u32,
    /// Version in force at the responding node.
    pub stamp: VersionStamp,
    /// Length of the body in bytes.
    pub body_length: u64,
}
