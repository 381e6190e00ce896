use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;
use h2::{RecvStream, SendStream};

use crate::error::Result;
use crate::peer::{ByteCounter, ControlMessage, ControlReceiver, ControlSender};

/// Long-lived bidirectional stream of control messages between two nodes.
///
/// At the node that opened it, the connection closes when both halves are dropped.
#[derive(Debug)]
pub struct ControlLink {
    sender: ControlSender,
    receiver: ControlReceiver,
}

impl ControlLink {
    pub(crate) fn new(
        sender: SendStream<Bytes>,
        receiver: RecvStream,
        counter: &Rc<ByteCounter>,
        close_handle: Option<Rc<oneshot::Sender<()>>>,
    ) -> Self {
        Self {
            sender: ControlSender::new(sender, Rc::clone(counter), close_handle.clone()),
            receiver: ControlReceiver::new(receiver, Rc::clone(counter), close_handle),
        }
    }

    /// Sends one message, waiting for flow-control capacity.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the link is closed, `PeerProtocol` if the message exceeds the limit.
    pub async fn send(&mut self, message: &ControlMessage) -> Result<()> {
        self.sender.send(message).await
    }

    /// Receives the next message, or returns `None` if the link ended between two frames.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` for a frame that cannot be decoded, is truncated or exceeds the limit.
    pub async fn receive(&mut self) -> Result<Option<ControlMessage>> {
        self.receiver.receive().await
    }

    /// Splits the link into halves that separate tasks can use.
    #[must_use]
    pub fn split(self) -> (ControlSender, ControlReceiver) {
        (self.sender, self.receiver)
    }

    /// Returns the byte counter of the link's connection.
    #[must_use]
    pub fn counter(&self) -> Rc<ByteCounter> {
        self.sender.counter()
    }
}
