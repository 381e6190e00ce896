use std::fmt::Write;

use bytes::Bytes;
use http::StatusCode;

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::sidecar::forward_message::HeaderFields;

/// Shortest wait that a refusal asks for. A client that returns at once finds the same queue.
const MIN_RETRY_AFTER: ClockTime = ClockTime(50);

/// Is the final answer to a client.
#[derive(Debug)]
pub(crate) struct ClientResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderFields,
    pub(crate) body: Bytes,
    /// Result of the request, for logs and metrics.
    pub(crate) code: ResultCode,
}

impl ClientResponse {
    /// Creates an answer of the node itself.
    pub(crate) fn local_reply(code: ResultCode, retry_after: Option<ClockTime>) -> Self {
        let mut headers = HeaderFields::new();
        if let Some(wait) = retry_after {
            let seconds = wait.max(MIN_RETRY_AFTER).as_f64() / 1_000.0;
            let value = format!("{seconds:.3}").into_bytes();
            headers.push(("retry-after".to_owned(), value));
        }
        Self {
            status: status_of(code),
            headers,
            body: Bytes::new(),
            code,
        }
    }

    /// Encodes the answer for the connection of the client.
    pub(crate) fn encode(&self, keep: bool, is_head: bool) -> Vec<u8> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let reason = status.canonical_reason().unwrap_or("Unknown");
        let mut head = String::with_capacity(256);
        // Writing to a string cannot fail.
        let _ = write!(head, "HTTP/1.1 {} {reason}\r\n", self.status);
        let mut bytes = head.into_bytes();
        bytes.reserve(512 + self.body.len());
        for (name, value) in &self.headers {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        let bodiless = matches!(self.status, 204 | 304);
        if !bodiless {
            let length = format!("Content-Length: {}\r\n", self.body.len());
            bytes.extend_from_slice(length.as_bytes());
        }
        if !keep {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if !bodiless && !is_head {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// Returns the status for a result of the node itself.
///
/// 408 and 503 promise that the request has not run and never will; 502 and 504 promise nothing.
fn status_of(code: ResultCode) -> u16 {
    match code {
        ResultCode::Ok => 200,
        ResultCode::NoRoute => 404,
        ResultCode::MalformedRequest => 400,
        ResultCode::RequestTooLarge => 413,
        ResultCode::RequestHeadTooLarge => 431,
        ResultCode::RequestTooSlow => 408,
        ResultCode::DeadlinePassed => 504,
        code if code.outcome() == crate::error::CallOutcome::NotRun => 503,
        _ => 502,
    }
}
