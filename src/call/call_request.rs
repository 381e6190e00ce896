use bytes::Bytes;

use crate::clock::ClockTime;
use crate::id::RequestKey;
use crate::version::VersionStamp;

/// Holds one request with its whole body.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// HTTP method in upper case.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// End-to-end headers in lower case; hop-by-hop headers and those below are left out.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
    /// Time that the caller still waits, from `x-deadline-ms`.
    pub remaining: Option<ClockTime>,
    /// Idempotency key, from `idempotency-key`.
    pub key: Option<RequestKey>,
    /// Age of the first attempt with this key, from `x-first-attempt-age-ms`.
    pub first_attempt_age: Option<ClockTime>,
    /// Number of nodes that entered this call before, from `x-call-depth`.
    pub depth: u8,
    /// Number of resends so far, from `x-request-attempt`.
    pub attempt: u8,
    /// Version that an earlier hop used, from `x-config-version`.
    pub stamp: Option<VersionStamp>,
}
