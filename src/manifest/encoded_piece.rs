use bincode::config;

use crate::error::{Error, Result, ResultCode};
use crate::manifest::ServicePiece;
use crate::peer::PieceBlob;
use crate::version::ContentDigest;

/// Memory limit for decoding one piece, in bytes. No piece of a valid manifest, which has at most
/// 1 MiB, exceeds it.
const MAX_DECODED_BYTES: usize = 2 * 1_024 * 1_024;

/// A service piece with its encoding and the digest of the encoding.
#[derive(Debug, Clone, PartialEq)]
pub struct EncodedPiece {
    /// The decoded piece.
    pub piece: ServicePiece,
    /// Bincode encoding, as sent between nodes.
    pub bytes: Vec<u8>,
    /// Digest of the encoding.
    pub digest: ContentDigest,
}

impl EncodedPiece {
    /// Encodes a piece.
    ///
    /// # Errors
    ///
    /// Returns `ManifestSyntax` if the piece cannot be encoded.
    pub fn encode(piece: ServicePiece) -> Result<Self> {
        let bytes = bincode::serde::encode_to_vec(&piece, config::standard())
            .map_err(|error| Error::new(ResultCode::ManifestSyntax, error.to_string()))?;
        let digest = ContentDigest::of(&bytes);
        Ok(Self {
            piece,
            bytes,
            digest,
        })
    }

    /// Decodes a piece received from a peer.
    ///
    /// # Errors
    ///
    /// Returns `ManifestDigestMismatch` if the bytes are not exactly one piece of the named
    /// service.
    pub fn decode(blob: &PieceBlob) -> Result<Self> {
        let mismatch = |reason: &str| {
            Error::new(
                ResultCode::ManifestDigestMismatch,
                format!("piece of service {}: {reason}", blob.service),
            )
        };
        let limited = config::standard().with_limit::<MAX_DECODED_BYTES>();
        let (piece, consumed): (ServicePiece, usize) =
            bincode::serde::decode_from_slice(&blob.bytes, limited)
                .map_err(|error| mismatch(&error.to_string()))?;
        if consumed != blob.bytes.len() {
            return Err(mismatch("trailing bytes after the encoding"));
        }
        if piece.service.name != blob.service {
            return Err(mismatch("the encoding contains another service"));
        }
        Ok(Self {
            piece,
            bytes: blob.bytes.clone(),
            digest: ContentDigest::of(&blob.bytes),
        })
    }

    /// Returns the encoded piece in the form sent to peers.
    #[must_use]
    pub fn to_blob(&self) -> PieceBlob {
        PieceBlob {
            service: self.piece.service.name.clone(),
            bytes: self.bytes.clone(),
        }
    }
}
