use std::io;
use std::pin::pin;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::{self, FutureExt};
use monoio::buf::IoBuf;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;
use monoio::time;

use crate::caller::chunk_decoder::ChunkDecoder;
use crate::caller::{BodyLength, WireError};
use crate::clock::ClockTime;

/// Bytes asked for in one read of a head. An idle connection holds a buffer of this size, so 1,024
/// of them hold 4 MiB.
const HEAD_READ: usize = 4 * 1024;
/// Bytes asked for in one read of a body.
const BODY_READ: usize = 64 * 1024;
/// Time for which bytes of a refused request are discarded. Closing with unread bytes resets the
/// connection, and the caller could lose the refusal.
const LINGER_TIME: ClockTime = ClockTime(1_000);
/// Bytes discarded at most for the same reason.
const LINGER_SIZE: usize = 4 * 1024 * 1024;

/// Reads and writes HTTP/1.1 messages on one connection under size limits.
///
/// No read loses bytes when its future is dropped, because bytes enter the buffer before the
/// future ends.
pub(crate) struct WireStream {
    stream: TcpStream,
    buffer: BytesMut,
    scratch: Vec<u8>,
}

impl WireStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without it, Nagle's algorithm delays the second of two small writes.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
            scratch: Vec::new(),
        }
    }

    /// Returns the number of received bytes that are not yet consumed.
    pub(crate) fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Receives more bytes and returns their number, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Any error of the socket.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.fill_sized(HEAD_READ).await
    }

    async fn fill_sized(&mut self, size: usize) -> io::Result<usize> {
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.clear();
        scratch.reserve_exact(size);
        let (result, scratch) = self.stream.read(scratch).await;
        let count = result?;
        self.buffer.extend_from_slice(&scratch[..count]);
        if scratch.capacity() == HEAD_READ {
            self.scratch = scratch;
        }
        Ok(count)
    }

    /// Returns true if the connection is open and no unexpected bytes have arrived.
    pub(crate) fn is_idle(&mut self) -> bool {
        self.buffer.is_empty() && self.fill().now_or_never().is_none()
    }

    /// Receives a head up to and with its empty line.
    ///
    /// # Errors
    ///
    /// `Closed`, `Truncated`, `TooLarge` or `Lost`.
    pub(crate) async fn read_head(&mut self, limit: usize) -> Result<Bytes, WireError> {
        let mut searched = 0;
        loop {
            // Empty lines before a start line are ignored, as RFC 9112 section 2.2 advises.
            while searched == 0 && self.buffer.starts_with(b"\r\n") {
                self.buffer.advance(2);
            }
            let from = searched.min(self.buffer.len());
            if let Some(position) = find_end(&self.buffer[from..]) {
                let end = from + position;
                if end > limit {
                    return Err(WireError::TooLarge);
                }
                return Ok(self.buffer.split_to(end).freeze());
            }
            if self.buffer.len() >= limit {
                return Err(WireError::TooLarge);
            }
            // The end may begin in the last three bytes.
            searched = self.buffer.len().saturating_sub(3);
            self.fill_message().await?;
        }
    }

    /// Receives a whole body.
    ///
    /// # Errors
    ///
    /// `Truncated`, `TooLarge`, `Malformed` or `Lost`.
    pub(crate) async fn read_body(
        &mut self,
        length: BodyLength,
        limit: usize,
    ) -> Result<Bytes, WireError> {
        match length {
            BodyLength::Absent => Ok(Bytes::new()),
            BodyLength::Fixed(length) if length > limit => Err(WireError::TooLarge),
            BodyLength::Fixed(length) => {
                while self.buffer.len() < length {
                    self.fill_body().await?;
                }
                Ok(self.buffer.split_to(length).freeze())
            }
            BodyLength::Chunked => {
                let mut decoder = ChunkDecoder::new(limit);
                loop {
                    if let Some(body) = decoder.decode(&mut self.buffer)? {
                        return Ok(body.freeze());
                    }
                    self.fill_body().await?;
                }
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// `NotWritten` if no byte was written, else `Lost`.
    pub(crate) async fn write(&mut self, bytes: Vec<u8>) -> Result<(), WireError> {
        let total = bytes.len();
        let mut bytes = bytes;
        let mut written = 0;
        while written < total {
            let (result, slice) = self.stream.write(bytes.slice(written..)).await;
            bytes = slice.into_inner();
            let result = match result {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                other => other,
            };
            written += result.map_err(|error| match written {
                0 => WireError::NotWritten(error),
                _ => WireError::Lost(error),
            })?;
        }
        Ok(())
    }

    /// Writes all bytes unless the other side answers before; returns whether all were written.
    ///
    /// # Errors
    ///
    /// As for [`WireStream::write`].
    pub(crate) async fn write_until_response(&mut self, bytes: Vec<u8>) -> Result<bool, WireError> {
        if bytes.len() <= BODY_READ {
            return self.write(bytes).await.map(|()| true);
        }
        let mut rest = Bytes::from(bytes);
        let mut started = false;
        while !rest.is_empty() {
            {
                let readable = pin!(self.stream.readable(false));
                let writable = pin!(self.stream.writable(false));
                future::select(readable, writable).await;
            }
            // Only a read tells whether bytes have arrived: readiness may be out of date.
            if !self.is_idle() {
                return Ok(false);
            }
            let (result, _) = self.stream.write(rest.clone()).await;
            let count = match result {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                other => other,
            }
            .map_err(|error| match started {
                false => WireError::NotWritten(error),
                true => WireError::Lost(error),
            })?;
            started = true;
            rest.advance(count);
        }
        Ok(true)
    }

    /// Receives a body that ends with the connection.
    ///
    /// # Errors
    ///
    /// `TooLarge`, or `Lost` if the connection was reset.
    pub(crate) async fn read_to_end(&mut self, limit: usize) -> Result<Bytes, WireError> {
        loop {
            if self.buffer.len() > limit {
                return Err(WireError::TooLarge);
            }
            match self.fill_sized(BODY_READ).await {
                Ok(0) => return Ok(std::mem::take(&mut self.buffer).freeze()),
                Ok(_) => {}
                Err(error) => return Err(WireError::Lost(error)),
            }
        }
    }

    /// Ends the connection so that the other side can still read what was written.
    pub(crate) async fn linger(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let _ = time::timeout(LINGER_TIME.to_duration(), async {
            let mut discarded = 0;
            while discarded < LINGER_SIZE {
                self.buffer.clear();
                match self.fill().await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => discarded += count,
                }
            }
        })
        .await;
    }

    async fn fill_message(&mut self) -> Result<(), WireError> {
        let empty = self.buffer.is_empty();
        match self.fill().await {
            Ok(0) if empty => Err(WireError::Closed),
            Ok(0) => Err(WireError::Truncated),
            Ok(_) => Ok(()),
            Err(error) => Err(WireError::Lost(error)),
        }
    }

    async fn fill_body(&mut self) -> Result<(), WireError> {
        match self.fill_sized(BODY_READ).await {
            Ok(0) => Err(WireError::Truncated),
            Ok(_) => Ok(()),
            Err(error) => Err(WireError::Lost(error)),
        }
    }
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|position| position + 4)
}
