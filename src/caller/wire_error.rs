use std::fmt;
use std::io;

/// Error while sending or receiving an HTTP/1.1 message.
#[derive(Debug)]
pub(crate) enum WireError {
    /// The write failed before any byte of the message was written.
    NotWritten(io::Error),
    /// The peer closed the connection before the first byte of a message.
    Closed,
    /// The connection ended within a message.
    Truncated,
    /// The message exceeds its size limit.
    TooLarge,
    /// The message did not arrive in time.
    TimedOut,
    /// The message is malformed or ambiguous.
    Malformed(&'static str),
    /// The connection failed.
    Lost(io::Error),
}

impl WireError {
    /// Returns whether a message arrived that is malformed or too large.
    pub(crate) fn is_invalid_message(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::TooLarge)
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotWritten(error) => {
                write!(formatter, "no byte could be written: {error}")
            }
            Self::Closed => formatter.write_str("connection closed before the message"),
            Self::Truncated => formatter.write_str("connection ended within the message"),
            Self::TooLarge => formatter.write_str("message exceeds its size limit"),
            Self::TimedOut => formatter.write_str("message did not arrive in time"),
            Self::Malformed(reason) => formatter.write_str(reason),
            Self::Lost(error) => write!(formatter, "connection failed: {error}"),
        }
    }
}
