use std::fmt;
use std::rc::Rc;

use bytes::BytesMut;
use futures_channel::oneshot;
use h2::RecvStream;

use crate::error::Result;
use crate::peer::{ByteCounter, ControlCodec, ControlMessage};

/// Receiving half of a control link.
pub struct ControlReceiver {
    stream: RecvStream,
    buffer: BytesMut,
    counter: Rc<ByteCounter>,
    _close_handle: Option<Rc<oneshot::Sender<()>>>,
}

impl ControlReceiver {
    pub(crate) fn new(
        stream: RecvStream,
        counter: Rc<ByteCounter>,
        close_handle: Option<Rc<oneshot::Sender<()>>>,
    ) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            counter,
            _close_handle: close_handle,
        }
    }

    /// Receives the next message, or returns `None` if the link ended between two frames.
    ///
    /// This is cancellation safe: dropping the future loses no data.
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
                ControlCodec::check_complete(&self.buffer)?;
                return Ok(None);
            };
            self.buffer.extend_from_slice(&data);
            // Releasing capacity fails only on a closed stream, which the next read reports.
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
