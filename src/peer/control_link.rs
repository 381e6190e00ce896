use crate::error::Result;
use crate::peer::ControlMessage;

/// Is one long-lived control stream between two nodes, with frames both ways.
#[derive(Debug)]
pub struct ControlLink {}

impl ControlLink {
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the link is closed.
    pub async fn send(&mut self, _message: &ControlMessage) -> Result<()> {
        Ok(())
    }

    /// Receives the next message, or `None` when the other side closed the link.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` for a frame that cannot be decoded or exceeds the limit.
    pub async fn receive(&mut self) -> Result<Option<ControlMessage>> {
        Ok(None)
    }
}
