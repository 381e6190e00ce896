use std::io;
use std::pin::pin;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::future::{self, FutureExt};
use monoio::buf::IoBuf;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;
use monoio::time;

use crate::caller::{BodyDecoder, BodyLength, WireError};
use crate::clock::ClockTime;

/// Size of one read of a head. Each idle connection holds a buffer of this size, so that 1,024
/// connections hold 4 MiB.
const HEAD_READ_BYTES: usize = 4 * 1024;
/// Size of one read of a body that a client sends. Many clients may send one at the same time, and each
/// connection holds what was read and the buffer of the next read.
const CLIENT_BODY_READ_BYTES: usize = 16 * 1024;
/// Size of one read of another body.
const BODY_READ_BYTES: usize = 64 * 1024;
/// Time for which received data is discarded before the connection is closed. Closing with unread
/// data resets the connection, and the client could lose the response.
const LINGER_TIMEOUT: ClockTime = ClockTime(1_000);
/// Time without progress after which a peer no longer reads a large body, whose memory others need.
const WRITE_STALL_TIMEOUT: ClockTime = ClockTime(5_000);
/// Maximum size of the data discarded before the connection is closed.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;

/// TCP stream that reads and writes HTTP/1.1 messages with size limits.
///
/// Reads are cancellation safe: received bytes enter the buffer before the future completes.
pub(crate) struct WireStream {
    stream: TcpStream,
    buffer: BytesMut,
    read_buffer: Vec<u8>,
    /// Number of buffered bytes that contain no end of a head.
    searched: usize,
    /// Number of bytes of the empty lines that preceded the next head.
    skipped: usize,
}

impl WireStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Nagle's algorithm would delay the second of two small writes.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: BytesMut::new(),
            read_buffer: Vec::new(),
            searched: 0,
            skipped: 0,
        }
    }

    /// Returns the number of received bytes that have not been consumed.
    pub(crate) fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the received bytes and frees their buffers.
    pub(crate) fn discard(&mut self) {
        self.buffer = BytesMut::new();
        self.read_buffer = Vec::new();
        self.searched = 0;
        self.skipped = 0;
    }

    /// Returns whether a part of the next head has arrived.
    pub(crate) fn has_partial_head(&self) -> bool {
        !self.buffer.is_empty() || self.skipped > 0
    }

    /// Receives more bytes and returns their number, which is 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        self.fill_up_to(HEAD_READ_BYTES).await
    }

    /// Receives more bytes of a body that a client sends; otherwise as [`WireStream::fill`].
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub(crate) async fn fill_client_body(&mut self) -> io::Result<usize> {
        if self.buffer.is_empty() {
            // The buffer may have grown with earlier pieces.
            self.buffer = BytesMut::new();
        }
        self.fill_up_to(CLIENT_BODY_READ_BYTES).await
    }

    async fn fill_up_to(&mut self, size: usize) -> io::Result<usize> {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        read_buffer.clear();
        read_buffer.reserve_exact(size);
        let (result, read_buffer) = self.stream.read(read_buffer).await;
        let count = result?;
        self.buffer.extend_from_slice(&read_buffer[..count]);
        if read_buffer.capacity() == HEAD_READ_BYTES {
            self.read_buffer = read_buffer;
        }
        Ok(count)
    }

    /// Returns whether the connection is open and no unread bytes have arrived.
    pub(crate) fn is_idle(&mut self) -> bool {
        self.buffer.is_empty() && self.fill().now_or_never().is_none()
    }

    /// Takes a complete head, including the empty line that ends it, from the received bytes.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the head, or the empty lines before it, exceed the limit.
    pub(crate) fn take_head(&mut self, limit: usize) -> Result<Option<Bytes>, WireError> {
        // Empty lines before the start line are ignored, as RFC 9112, section 2.2 recommends.
        while self.searched == 0 && self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
            self.skipped += 2;
        }
        if self.skipped > limit {
            return Err(WireError::TooLarge);
        }
        let start = self.searched.min(self.buffer.len());
        if let Some(position) = find_head_end(&self.buffer[start..]) {
            let end = start + position;
            if end > limit {
                return Err(WireError::TooLarge);
            }
            self.searched = 0;
            self.skipped = 0;
            return Ok(Some(self.buffer.split_to(end).freeze()));
        }
        if self.buffer.len() >= limit {
            return Err(WireError::TooLarge);
        }
        // The empty line may begin in the last three bytes.
        self.searched = self.buffer.len().saturating_sub(3);
        Ok(None)
    }

    /// Receives a head, including the empty line that ends it.
    ///
    /// # Errors
    ///
    /// `Closed`, `Truncated`, `TooLarge` or `Lost`.
    pub(crate) async fn read_head(&mut self, limit: usize) -> Result<Bytes, WireError> {
        loop {
            if let Some(head) = self.take_head(limit)? {
                return Ok(head);
            }
            self.fill_head().await?;
        }
    }

    /// Takes a complete body from the received bytes.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `Malformed`.
    pub(crate) fn take_body(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, WireError> {
        decoder.decode(&mut self.buffer)
    }

    /// Receives a complete body.
    ///
    /// # Errors
    ///
    /// `Truncated`, `TooLarge`, `Malformed` or `Lost`.
    pub(crate) async fn read_body(
        &mut self,
        length: BodyLength,
        limit: usize,
    ) -> Result<Bytes, WireError> {
        self.read_body_while(length, limit, |_| true).await
    }

    /// Receives a complete body as long as `admits` accepts the number of bytes held for it.
    ///
    /// # Errors
    ///
    /// As for [`WireStream::read_body`]; also `TooLarge` if the bytes are not accepted.
    pub(crate) async fn read_body_while<Admits>(
        &mut self,
        length: BodyLength,
        limit: usize,
        mut admits: Admits,
    ) -> Result<Bytes, WireError>
    where
        Admits: FnMut(usize) -> bool,
    {
        let mut decoder = BodyDecoder::new(length, limit)?;
        loop {
            if let Some(body) = self.take_body(&mut decoder)? {
                return Ok(body);
            }
            self.fill_body().await?;
            if !admits(self.buffer.len() + decoder.held_len()) {
                return Err(WireError::TooLarge);
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// `NotWritten` if no byte was written, otherwise `Lost`.
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

    /// Writes a head and a body, which is copied only if it is small.
    ///
    /// # Errors
    ///
    /// As for [`WireStream::write`]; also `TimedOut` if the peer does not read a large body.
    pub(crate) async fn write_message(
        &mut self,
        mut head: Vec<u8>,
        body: Bytes,
    ) -> Result<(), WireError> {
        if body.len() <= BODY_READ_BYTES {
            head.extend_from_slice(&body);
            return self.write(head).await;
        }
        self.write(head).await?;
        let mut remaining = body;
        while !remaining.is_empty() {
            let writing = self.stream.write(remaining.clone());
            let written = time::timeout(WRITE_STALL_TIMEOUT.to_duration(), writing).await;
            match written {
                Ok((Ok(0), _)) => return Err(WireError::Lost(io::ErrorKind::WriteZero.into())),
                Ok((Ok(count), _)) => remaining.advance(count),
                Ok((Err(error), _)) => return Err(WireError::Lost(error)),
                Err(_) => return Err(WireError::TimedOut),
            }
        }
        Ok(())
    }

    /// Writes a head and a body until the peer starts to respond; returns whether all bytes were
    /// written. The body is copied only if it is small.
    ///
    /// # Errors
    ///
    /// As for [`WireStream::write`].
    pub(crate) async fn write_until_response(
        &mut self,
        mut head: Vec<u8>,
        body: &Bytes,
    ) -> Result<bool, WireError> {
        if body.len() <= BODY_READ_BYTES {
            head.extend_from_slice(body);
            return self.write(head).await.map(|()| true);
        }
        self.write(head).await?;
        let mut remaining = body.clone();
        while !remaining.is_empty() {
            {
                let readable = pin!(self.stream.readable(false));
                let writable = pin!(self.stream.writable(false));
                future::select(readable, writable).await;
            }
            // Readiness may be outdated, so only a read shows whether bytes have arrived.
            if !self.is_idle() {
                return Ok(false);
            }
            let (result, _) = self.stream.write(remaining.clone()).await;
            let count = match result {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                other => other,
            }
            .map_err(WireError::Lost)?;
            remaining.advance(count);
        }
        Ok(true)
    }

    /// Receives a body that extends to the end of the connection, as long as `admits` accepts the
    /// number of bytes held for it.
    ///
    /// # Errors
    ///
    /// `TooLarge`, or `Lost` if the connection was reset.
    pub(crate) async fn read_to_end<Admits>(
        &mut self,
        limit: usize,
        mut admits: Admits,
    ) -> Result<Bytes, WireError>
    where
        Admits: FnMut(usize) -> bool,
    {
        loop {
            if self.buffer.len() > limit || !admits(self.buffer.len()) {
                return Err(WireError::TooLarge);
            }
            match self.fill_up_to(BODY_READ_BYTES).await {
                Ok(0) => return Ok(std::mem::take(&mut self.buffer).freeze()),
                Ok(_) => {}
                Err(error) => return Err(WireError::Lost(error)),
            }
        }
    }

    /// Shuts down the sending side and discards received data, so that the peer can read the
    /// response before the connection is closed.
    pub(crate) async fn linger(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let _ = time::timeout(LINGER_TIMEOUT.to_duration(), async {
            let mut discarded = 0;
            while discarded < MAX_LINGER_BYTES {
                self.buffer.clear();
                match self.fill().await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => discarded += count,
                }
            }
        })
        .await;
    }

    async fn fill_head(&mut self) -> Result<(), WireError> {
        let empty = self.buffer.is_empty();
        match self.fill().await {
            Ok(0) if empty => Err(WireError::Closed),
            Ok(0) => Err(WireError::Truncated),
            Ok(_) => Ok(()),
            Err(error) => Err(WireError::Lost(error)),
        }
    }

    async fn fill_body(&mut self) -> Result<(), WireError> {
        match self.fill_up_to(BODY_READ_BYTES).await {
            Ok(0) => Err(WireError::Truncated),
            Ok(_) => Ok(()),
            Err(error) => Err(WireError::Lost(error)),
        }
    }
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(4)
        .position(|window| window == b"\r\n\r\n")
        .map(|position| position + 4)
}
