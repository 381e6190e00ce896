use bincode::config;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};

/// Codec for control messages, with frame bodies of at most 2 MiB.
pub type ControlCodec = FrameCodec<{ 2 << 20 }>;

/// Codec for the heads of calls and fence requests, with frame bodies of at most 64 KiB.
pub type CallCodec = FrameCodec<{ 64 << 10 }>;

/// Codec for frames that consist of a 4-byte big-endian length, a version byte and a bincode body.
///
/// The length counts only the bytes of the body, not the version byte. `LIMIT` is the maximum body
/// length in bytes.
#[derive(Debug)]
pub struct FrameCodec<const LIMIT: usize>;

impl<const LIMIT: usize> FrameCodec<LIMIT> {
    /// Maximum body length in bytes.
    pub const LIMIT: usize = LIMIT;
    /// Version of the frame format.
    pub const VERSION: u8 = 1;
    /// Length of the length field and the version byte.
    pub const HEADER_LENGTH: usize = 5;

    /// Encodes one message as a frame.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` if the message exceeds the limit.
    pub fn encode<Message>(message: &Message) -> Result<Bytes>
    where
        Message: Serialize,
    {
        let body = bincode::serde::encode_to_vec(message, config::standard())
            .map_err(|error| protocol_error(format!("a frame cannot be encoded: {error}")))?;
        if body.len() > LIMIT {
            return Err(protocol_error(format!(
                "a frame of {} bytes exceeds the limit of {LIMIT}",
                body.len()
            )));
        }
        let mut frame = BytesMut::with_capacity(Self::HEADER_LENGTH + body.len());
        frame.put_u32(body.len() as u32);
        frame.put_u8(Self::VERSION);
        frame.put_slice(&body);
        Ok(frame.freeze())
    }

    /// Decodes the frame at the start of `buffer` and removes it; returns `None` while it is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` for an unsupported version, a length above the limit or an invalid body.
    pub fn decode<Message>(buffer: &mut BytesMut) -> Result<Option<Message>>
    where
        Message: DeserializeOwned,
    {
        if buffer.len() < Self::HEADER_LENGTH {
            return Ok(None);
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if buffer[4] != Self::VERSION {
            return Err(protocol_error(format!(
                "unknown frame version {}",
                buffer[4]
            )));
        }
        if length > LIMIT {
            return Err(protocol_error(format!(
                "a frame of {length} bytes exceeds the limit of {LIMIT}"
            )));
        }
        if buffer.len() < Self::HEADER_LENGTH + length {
            return Ok(None);
        }
        buffer.advance(Self::HEADER_LENGTH);
        let body = buffer.split_to(length);
        let bincode_config = config::standard().with_limit::<LIMIT>();
        let (message, consumed) = bincode::serde::decode_from_slice(&body, bincode_config)
            .map_err(|error| protocol_error(format!("a frame cannot be decoded: {error}")))?;
        if consumed != length {
            return Err(protocol_error(format!(
                "a frame has {} bytes after its message",
                length - consumed
            )));
        }
        Ok(Some(message))
    }

    /// Checks at the end of a stream that no part of a frame is left in `buffer`.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` if the last frame is truncated.
    pub fn check_complete(buffer: &BytesMut) -> Result<()> {
        if buffer.is_empty() {
            Ok(())
        } else {
            Err(protocol_error(format!(
                "the stream ended after {} bytes of a frame",
                buffer.len()
            )))
        }
    }
}

fn protocol_error(message: String) -> Error {
    Error::new(ResultCode::PeerProtocol, message)
}
