use std::fmt;
use std::rc::Rc;

use bytes::BytesMut;
use futures_channel::oneshot;
use h2::RecvStream;

use crate::error::Result;
use crate::peer::{ByteCounter, ControlCodec, ControlMessage};

/// Receives control messages on one link.
pub struct ControlReceiver {
    stream: RecvStream,
    buffer: BytesMut,
    counter: Rc<ByteCounter>,
    _closer: Option<Rc<oneshot::Sender<()>>>,
}

impl ControlReceiver {
    pub(crate) fn new(
        stream: RecvStream,
        counter: Rc<ByteCounter>,
        closer: Option<Rc<oneshot::Sender<()>>>,
    ) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            counter,
            _closer: closer,
        }
    }

    /// Receives the next message, or `None` when the link was closed or lost between two frames.
    ///
    /// Dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` for a frame that cannot be decoded, is truncated or exceeds the limit.
    pub async fn receive(&mut self) -> Result<Option<ControlMessage>> {
        loop {
            if let Some(message) = ControlCodec::decode(&mut self.buffer)? {
                return Ok(Some(message));
            }
            let Some(Ok(data)) = self.stream.data().await else {
                ControlCodec::finish(&self.buffer)?;
                return Ok(None);
            };
            self.buffer.extend_from_slice(&data);
            // Only a closed stream refuses the release; the next read reports that.
            let _ = self.stream.flow_control().release_capacity(data.len());
        }
    }

    /// Returns the byte counter of the link's connection.
    #[must_use]
    pub fn counter(&self) -> Rc<ByteCounter> {
        Rc::clone(&self.counter)
    }
}

impl fmt::Debug for ControlReceiver {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ControlReceiver")
            .field("buffered", &self.buffer.len())
            .finish_non_exhaustive()
    }
}
