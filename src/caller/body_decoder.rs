use bytes::{Buf, Bytes, BytesMut};

use crate::caller::chunk_decoder::ChunkDecoder;
use crate::caller::{BodyLength, WireError};

/// Decoder of a message body whose bytes arrive in pieces.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    /// A body of known length, with the bytes that have arrived. Its buffer is allocated once, so that a
    /// large body is not copied as it grows.
    Fixed(usize, BytesMut),
    /// A body in chunked transfer encoding.
    Chunked(ChunkDecoder),
}

impl BodyDecoder {
    /// Creates a decoder that accepts at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the declared length exceeds the limit.
    pub(crate) fn new(length: BodyLength, limit: usize) -> Result<Self, WireError> {
        match length {
            BodyLength::Absent => Ok(Self::Fixed(0, BytesMut::new())),
            BodyLength::Fixed(length) if length > limit => Err(WireError::TooLarge),
            BodyLength::Fixed(length) => Ok(Self::Fixed(length, BytesMut::new())),
            BodyLength::Chunked => Ok(Self::Chunked(ChunkDecoder::new(limit))),
        }
    }

    /// Returns the number of body bytes that the decoder holds.
    pub(crate) fn held_len(&self) -> usize {
        match self {
            Self::Fixed(_, body) => body.len(),
            Self::Chunked(decoder) => decoder.held_len(),
        }
    }

    /// Consumes received bytes and returns the body once it is complete.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `Malformed`.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, WireError> {
        match self {
            Self::Fixed(length, body) if body.is_empty() && buffer.len() >= *length => {
                Ok(Some(buffer.split_to(*length).freeze()))
            }
            Self::Fixed(length, body) => {
                if body.capacity() == 0 {
                    body.reserve(*length);
                }
                let count = buffer.len().min(*length - body.len());
                body.extend_from_slice(&buffer[..count]);
                buffer.advance(count);
                let is_complete = body.len() == *length;
                Ok(is_complete.then(|| std::mem::take(body).freeze()))
            }
            Self::Chunked(decoder) => Ok(decoder.decode(buffer)?.map(BytesMut::freeze)),
        }
    }
}
