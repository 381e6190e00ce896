use bytes::Bytes;

use crate::clock::ClockTime;
use crate::id::RequestKey;
use crate::version::VersionStamp;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers, with names in lower case. Hop-by-hop headers and those parsed into the
    /// fields below are omitted.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
    /// Time until the deadline of the caller, from `x-deadline-ms`.
    pub remaining: Option<ClockTime>,
    /// Idempotency key, from `idempotency-key`.
    pub key: Option<RequestKey>,
    /// Age of the first attempt with this key, from `x-first-attempt-age-ms`.
    pub first_attempt_age: Option<ClockTime>,
    /// Number of calls that this call is nested in, from `x-call-depth`.
    pub depth: u8,
    /// Number of previous attempts, from `x-request-attempt`.
    pub attempt: u8,
    /// Configuration version used by the previous hop, from `x-config-version`.
    pub stamp: Option<VersionStamp>,
}
