use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result, ResultCode};
use crate::sidecar::view_message::{ConfigUpdate, VIEW_LIMIT};
use crate::size::ByteSize;

/// A configuration update, compressed for transfer to other nodes.
///
/// Routes differ in few bytes and compress well, and a node with little bandwidth sends them to
/// several other nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CompressedConfig(Vec<u8>);

impl CompressedConfig {
    /// Encodes and compresses an update.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` if it cannot be encoded.
    pub(crate) fn encode(update: &ConfigUpdate) -> Result<Self> {
        let bytes = bincode::serde::encode_to_vec(update, bincode::config::standard())
            .map_err(|error| protocol_error(&error))?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder
            .write_all(&bytes)
            .map_err(|error| protocol_error(&error))?;
        let compressed = encoder.finish().map_err(|error| protocol_error(&error))?;
        Ok(Self(compressed))
    }

    /// Returns the size of the compressed update.
    pub(crate) fn size(&self) -> ByteSize {
        ByteSize(self.0.len() as u64)
    }

    /// Decompresses and decodes the update, whose size is limited to [`VIEW_LIMIT`].
    ///
    /// # Errors
    ///
    /// `PeerProtocol` if it exceeds the limit or cannot be decoded.
    pub(crate) fn decode(&self) -> Result<ConfigUpdate> {
        let limit = VIEW_LIMIT as u64;
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(limit + 1);
        let mut bytes = Vec::new();
        decoder
            .read_to_end(&mut bytes)
            .map_err(|error| protocol_error(&error))?;
        if bytes.len() as u64 > limit {
            return Err(protocol_error(&format!(
                "decompressed size exceeds {limit} bytes"
            )));
        }
        let (update, _) = bincode::serde::decode_from_slice(&bytes, bincode::config::standard())
            .map_err(|error| protocol_error(&error))?;
        Ok(update)
    }
}

fn protocol_error<Cause>(cause: &Cause) -> Error
where
    Cause: std::fmt::Display,
{
    Error::new(
        ResultCode::PeerProtocol,
        format!("invalid compressed configuration: {cause}"),
    )
}
