use bincode::config;

use crate::id::ServiceName;
use crate::version::ContentDigest;

/// Lists the services of a version with the digests of their pieces, sorted by service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceIndex {
    /// Services and digests.
    pub entries: Vec<(ServiceName, ContentDigest)>,
}

impl PieceIndex {
    /// Creates an index; the entries are sorted by service.
    #[must_use]
    pub fn new(mut entries: Vec<(ServiceName, ContentDigest)>) -> Self {
        entries.sort();
        Self { entries }
    }

    /// Computes the digest of the encoded index, which is the digest of the version's stamp.
    #[must_use]
    pub fn digest(&self) -> ContentDigest {
        // Names and fixed arrays always encode; an empty vector would only give another digest.
        let bytes =
            bincode::serde::encode_to_vec(&self.entries, config::standard()).unwrap_or_default();
        ContentDigest::of(&bytes)
    }
}
