use bytes::{Bytes, BytesMut};

use crate::caller::chunk_decoder::ChunkDecoder;
use crate::caller::{BodyLength, WireError};

/// Decoder of a message body whose bytes arrive in pieces.
#[derive(Debug)]
pub(crate) enum BodyDecoder {
    /// A body of known length.
    Fixed(usize),
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
            BodyLength::Absent => Ok(Self::Fixed(0)),
            BodyLength::Fixed(length) if length > limit => Err(WireError::TooLarge),
            BodyLength::Fixed(length) => Ok(Self::Fixed(length)),
            BodyLength::Chunked => Ok(Self::Chunked(ChunkDecoder::new(limit))),
        }
    }

    /// Returns the number of body bytes that the decoder holds.
    pub(crate) fn held_len(&self) -> usize {
        match self {
            Self::Fixed(_) => 0,
            Self::Chunked(decoder) => decoder.decoded_len(),
        }
    }

    /// Consumes received bytes and returns the body once it is complete.
    ///
    /// # Errors
    ///
    /// `TooLarge` or `Malformed`.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, WireError> {
        match self {
            Self::Fixed(length) if buffer.len() < *length => Ok(None),
            Self::Fixed(length) => Ok(Some(buffer.split_to(*length).freeze())),
            Self::Chunked(decoder) => Ok(decoder.decode(buffer)?.map(BytesMut::freeze)),
        }
    }
}
