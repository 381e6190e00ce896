use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio_compat::StreamWrapper;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Stream of an HTTP/2 connection that stays at one address.
///
/// `StreamWrapper` stores a pending read or write that points to its own stream, so moving it
/// between two polls makes that operation use freed memory. This type keeps the wrapper on the heap
/// and may be moved at any time, together with the connection that owns it.
pub struct PinnedStream<Stream>(Pin<Box<StreamWrapper<Stream>>>);

impl<Stream> PinnedStream<Stream> {
    /// Moves a stream to the heap.
    #[must_use]
    pub fn new(stream: Stream) -> Self {
        Self(Box::pin(StreamWrapper::new(stream)))
    }
}

impl<Stream> AsyncRead for PinnedStream<Stream>
where
    Stream: AsyncReadRent + Unpin + 'static,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_read(context, buffer)
    }
}

impl<Stream> AsyncWrite for PinnedStream<Stream>
where
    Stream: AsyncWriteRent + Unpin + 'static,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_shutdown(context)
    }
}

impl<Stream> fmt::Debug for PinnedStream<Stream> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PinnedStream")
            .finish_non_exhaustive()
    }
}
