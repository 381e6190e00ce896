use bincode::config;

use crate::id::ServiceName;
use crate::version::ContentDigest;

/// The services of a version with the digests of their pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceIndex {
    /// Service names and piece digests, sorted by service.
    pub entries: Vec<(ServiceName, ContentDigest)>,
}

impl PieceIndex {
    /// Creates an index from entries in any order.
    #[must_use]
    pub fn new(mut entries: Vec<(ServiceName, ContentDigest)>) -> Self {
        entries.sort();
        Self { entries }
    }

    /// Computes the digest of the encoded index, which is used in the stamp of the version.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        // Encoding names and fixed-size arrays cannot fail. If it did, the digest would not match.
        let bytes =
            bincode::serde::encode_to_vec(&self.entries, config::standard()).unwrap_or_default();
        ContentDigest::of(&bytes)
    }
}
