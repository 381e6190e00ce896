use crate::clock::ClockTime;
use crate::size::ByteSize;

/// Holds the limits of an HTTP/1.1 server.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Largest request head.
    pub head_limit: ByteSize,
    /// Largest request body.
    pub body_limit: ByteSize,
    /// Time from the first byte of a request to the end of its head.
    pub head_timeout: ClockTime,
    /// Time to receive a request body; also the time to write an answer.
    pub body_timeout: ClockTime,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: ClockTime,
    /// Connections open at once; further ones get 503 and are closed.
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
