use std::time::Duration;

/// Step of a server that writes bytes of its own choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WireStep {
    /// Sends the bytes.
    Send(Vec<u8>),
    /// Waits without reading.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}
