use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use futures_channel::oneshot;
use h2::SendStream;

use crate::error::{Error, Result, ResultCode};
use crate::peer::stream_io;
use crate::peer::{ByteCounter, ControlCodec, ControlMessage};

/// Sending half of a control link.
pub struct ControlSender {
    stream: SendStream<Bytes>,
    counter: Rc<ByteCounter>,
    _close_handle: Option<Rc<oneshot::Sender<()>>>,
}

impl ControlSender {
    pub(crate) fn new(
        stream: SendStream<Bytes>,
        counter: Rc<ByteCounter>,
        close_handle: Option<Rc<oneshot::Sender<()>>>,
    ) -> Self {
        Self {
            stream,
            counter,
            _close_handle: close_handle,
        }
    }

    /// Sends one message, waiting for flow-control capacity.
    ///
    /// This is not cancellation safe: a dropped future may have sent part of a frame, and the link
    /// must then be dropped too.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the link is closed, `PeerProtocol` if the message exceeds the limit.
    pub async fn send(&mut self, message: &ControlMessage) -> Result<()> {
        let frame = ControlCodec::encode(message)?;
        stream_io::send_all(&mut self.stream, frame, false)
            .await
            .map_err(|error| {
                Error::new(
                    ResultCode::PeerUnreachable,
                    format!("control link closed: {error}"),
                )
            })
    }

    /// Returns the byte counter of the link's connection.
    #[must_use]
    pub fn counter(&self) -> Rc<ByteCounter> {
        Rc::clone(&self.counter)
    }
}

impl fmt::Debug for ControlSender {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ControlSender")
            .field("counter", &self.counter)
            .finish_non_exhaustive()
    }
}
