use std::fmt;
use std::io;

/// States why one HTTP/1.1 message could not be received or sent.
#[derive(Debug)]
pub(crate) enum WireError {
    /// No byte of the message was written.
    NotWritten(io::Error),
    /// The other side closed the connection before the first byte of a message.
    Closed,
    /// The connection ended within a message.
    Truncated,
    /// The message exceeds its size limit.
    TooLarge,
    /// The message did not arrive in time.
    TimedOut,
    /// The message is malformed or could be read in two ways.
    Malformed(&'static str),
    /// The connection failed.
    Lost(io::Error),
}

impl WireError {
    /// Returns true if the message arrived and cannot be accepted.
    pub(crate) fn is_invalid_message(&self) -> bool {
        matches!(self, Self::Malformed(_) | Self::TooLarge)
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotWritten(error) => write!(formatter, "no byte could be written: {error}"),
            Self::Closed => formatter.write_str("connection closed before the message"),
            Self::Truncated => formatter.write_str("connection ended within the message"),
            Self::TooLarge => formatter.write_str("message exceeds its size limit"),
            Self::TimedOut => formatter.write_str("message did not arrive in time"),
            Self::Malformed(what) => formatter.write_str(what),
            Self::Lost(error) => write!(formatter, "connection failed: {error}"),
        }
    }
}
