use bytes::{Buf, BytesMut};

use crate::caller::WireError;

/// Size of the segments in which a body is held until it is complete.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Maximum length of a chunk size line.
const MAX_SIZE_LINE_BYTES: usize = 16;

/// Decoder of chunked bodies with a size limit; it rejects chunk extensions and trailers.
///
/// The decoder of `monoio_http` is not used, because it buffers chunks of any declared size and
/// accepts an empty size line as the last chunk.
#[derive(Debug)]
pub(crate) struct ChunkDecoder {
    limit: usize,
    /// The body in segments, so that a large one is not copied as it grows.
    segments: Vec<BytesMut>,
    length: usize,
    remaining: usize,
    state: ChunkState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data,
    ChunkEnd,
    BodyEnd,
}

impl ChunkDecoder {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            segments: Vec::new(),
            length: 0,
            remaining: 0,
            state: ChunkState::Size,
        }
    }

    /// Returns the number of bytes that the decoded part of the body occupies.
    pub(crate) fn held_len(&self) -> usize {
        self.segments.iter().map(BytesMut::capacity).sum()
    }

    /// Appends decoded bytes.
    fn append(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let room = match self.segments.last() {
                Some(last) => SEGMENT_BYTES - last.len(),
                None => 0,
            };
            if room == 0 {
                let capacity = match self.segments.is_empty() {
                    true => bytes.len().min(SEGMENT_BYTES),
                    false => SEGMENT_BYTES,
                };
                self.segments.push(BytesMut::with_capacity(capacity));
                continue;
            }
            let (part, rest) = bytes.split_at(bytes.len().min(room));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(part);
            }
            bytes = rest;
        }
    }

    /// Returns the whole body, which is copied unless it is small.
    fn take_body(&mut self) -> BytesMut {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default();
        }
        let mut body = BytesMut::with_capacity(self.length);
        for segment in std::mem::take(&mut self.segments) {
            body.extend_from_slice(&segment);
        }
        body
    }

    /// Consumes received bytes and returns the body when the last chunk is complete.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the body exceeds the limit, `Malformed` if it is not valid chunked encoding.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, WireError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(size) = decode_chunk_size(buffer)? else {
                        return Ok(None);
                    };
                    if size > self.limit - self.length {
                        return Err(WireError::TooLarge);
                    }
                    self.remaining = size;
                    self.state = if size == 0 {
                        ChunkState::BodyEnd
                    } else {
                        ChunkState::Data
                    };
                }
                ChunkState::Data => {
                    let count = self.remaining.min(buffer.len());
                    self.append(&buffer[..count]);
                    buffer.advance(count);
                    self.remaining -= count;
                    if self.remaining > 0 {
                        return Ok(None);
                    }
                    self.state = ChunkState::ChunkEnd;
                }
                ChunkState::ChunkEnd | ChunkState::BodyEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(WireError::Malformed("chunk without end or with trailers"));
                    }
                    buffer.advance(2);
                    if self.state == ChunkState::BodyEnd {
                        return Ok(Some(self.take_body()));
                    }
                    self.state = ChunkState::Size;
                }
            }
        }
    }
}

fn decode_chunk_size(buffer: &mut BytesMut) -> Result<Option<usize>, WireError> {
    let invalid = || WireError::Malformed("invalid chunk size");
    let Some(end) = buffer
        .iter()
        .take(MAX_SIZE_LINE_BYTES)
        .position(|byte| *byte == b'\r')
    else {
        return if buffer.len() >= MAX_SIZE_LINE_BYTES {
            Err(invalid())
        } else {
            Ok(None)
        };
    };
    if buffer.len() < end + 2 {
        return Ok(None);
    }
    let digits = &buffer[..end];
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) || buffer[end + 1] != b'\n' {
        return Err(invalid());
    }
    let text = std::str::from_utf8(digits).map_err(|_| invalid())?;
    let size = usize::from_str_radix(text, 16).map_err(|_| invalid())?;
    buffer.advance(end + 2);
    Ok(Some(size))
}
