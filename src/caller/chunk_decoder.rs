use bytes::{Buf, BytesMut};

use crate::caller::WireError;

/// Longest chunk size line that is accepted, in bytes.
const MAX_SIZE_LINE: usize = 16;

/// Decodes a chunked body under a size limit.
///
/// The codec's decoder is not used: it buffers a chunk of any declared size and takes an empty
/// size line for the last chunk. Chunk extensions and trailers are refused.
#[derive(Debug)]
pub(crate) struct ChunkDecoder {
    limit: usize,
    body: BytesMut,
    rest: usize,
    state: ChunkState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data,
    DataEnd,
    LastEnd,
}

impl ChunkDecoder {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            body: BytesMut::new(),
            rest: 0,
            state: ChunkState::Size,
        }
    }

    /// Consumes received bytes and returns the body once the last chunk is complete.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `Malformed`.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, WireError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(size) = decode_size(buffer)? else {
                        return Ok(None);
                    };
                    if size > self.limit - self.body.len() {
                        return Err(WireError::TooLarge);
                    }
                    self.rest = size;
                    self.state = if size == 0 {
                        ChunkState::LastEnd
                    } else {
                        ChunkState::Data
                    };
                }
                ChunkState::Data => {
                    let count = self.rest.min(buffer.len());
                    self.body.extend_from_slice(&buffer[..count]);
                    buffer.advance(count);
                    self.rest -= count;
                    if self.rest > 0 {
                        return Ok(None);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd | ChunkState::LastEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(WireError::Malformed("chunk without end or with trailers"));
                    }
                    buffer.advance(2);
                    if self.state == ChunkState::LastEnd {
                        return Ok(Some(std::mem::take(&mut self.body)));
                    }
                    self.state = ChunkState::Size;
                }
            }
        }
    }
}

fn decode_size(buffer: &mut BytesMut) -> Result<Option<usize>, WireError> {
    let invalid = || WireError::Malformed("invalid chunk size");
    let Some(end) = buffer
        .iter()
        .take(MAX_SIZE_LINE)
        .position(|byte| *byte == b'\r')
    else {
        return if buffer.len() >= MAX_SIZE_LINE {
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
