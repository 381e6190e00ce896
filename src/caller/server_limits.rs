use crate::clock::ClockTime;
use crate::size::ByteSize;

/// Limits of an HTTP/1.1 server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum size of a request head.
    pub head_limit: ByteSize,
    /// Maximum size of a request body.
    pub body_limit: ByteSize,
    /// Time from the first byte of a request to the end of its head.
    pub head_timeout: ClockTime,
    /// Time to receive a request body, and also to write a response.
    pub body_timeout: ClockTime,
    /// Time after which an idle connection is closed.
    pub idle_timeout: ClockTime,
    /// Maximum number of open connections; further ones receive a 503 response and are closed.
    pub connection_limit: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_limit: ByteSize(16 * 1024),
            body_limit: ByteSize(1024 * 1024),
            head_timeout: ClockTime(2_000),
            body_timeout: ClockTime(10_000),
            idle_timeout: ClockTime(60_000),
            connection_limit: 1024,
        }
    }
}
