use bincode::config;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};

/// Codec for control frames of at most 2 MiB.
pub type ControlCodec = FrameCodec<{ 2 << 20 }>;

/// Codec for the heads of calls and fences, of at most 64 KiB.
pub type CallCodec = FrameCodec<{ 64 << 10 }>;

/// Encodes and decodes frames: a 4-byte big-endian length, a version byte and a bincode body.
///
/// The length counts the body without the version byte; `LIMIT` is the longest body in bytes.
#[derive(Debug)]
pub struct FrameCodec<const LIMIT: usize>;

impl<const LIMIT: usize> FrameCodec<LIMIT> {
    /// Longest body in bytes.
    pub const LIMIT: usize = LIMIT;
    /// Version of the frame format.
    pub const VERSION: u8 = 1;
    /// Length of what precedes the body, in bytes.
    pub const HEAD_LENGTH: usize = 5;

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
            .map_err(|error| protocol(format!("a frame cannot be encoded: {error}")))?;
        if body.len() > LIMIT {
            return Err(protocol(format!(
                "a frame of {} bytes exceeds the limit of {LIMIT}",
                body.len()
            )));
        }
        let mut frame = BytesMut::with_capacity(Self::HEAD_LENGTH + body.len());
        frame.put_u32(body.len() as u32);
        frame.put_u8(Self::VERSION);
        frame.put_slice(&body);
        Ok(frame.freeze())
    }

    /// Takes the next message from the start of `buffer`, or `None` while its frame is incomplete.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` for another version, a length above the limit or an invalid body.
    pub fn decode<Message>(buffer: &mut BytesMut) -> Result<Option<Message>>
    where
        Message: DeserializeOwned,
    {
        if buffer.len() < Self::HEAD_LENGTH {
            return Ok(None);
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if buffer[4] != Self::VERSION {
            return Err(protocol(format!("unknown frame version {}", buffer[4])));
        }
        if length > LIMIT {
            return Err(protocol(format!(
                "a frame of {length} bytes exceeds the limit of {LIMIT}"
            )));
        }
        if buffer.len() < Self::HEAD_LENGTH + length {
            return Ok(None);
        }
        buffer.advance(Self::HEAD_LENGTH);
        let body = buffer.split_to(length);
        let settings = config::standard().with_limit::<LIMIT>();
        let (message, used) = bincode::serde::decode_from_slice(&body, settings)
            .map_err(|error| protocol(format!("a frame cannot be decoded: {error}")))?;
        if used != length {
            return Err(protocol(format!(
                "a frame has {} bytes after its message",
                length - used
            )));
        }
        Ok(Some(message))
    }

    /// Checks that the stream ended between two frames.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` if part of a frame is left.
    pub fn finish(buffer: &BytesMut) -> Result<()> {
        if buffer.is_empty() {
            Ok(())
        } else {
            Err(protocol(format!(
                "the stream ended after {} bytes of a frame",
                buffer.len()
            )))
        }
    }
}

fn protocol(message: String) -> Error {
    Error::new(ResultCode::PeerProtocol, message)
}
