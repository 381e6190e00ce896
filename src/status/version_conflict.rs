use serde::{Deserialize, Serialize};

use crate::version::ContentDigest;

/// Two different contents published under the same version number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionConflict {
    /// Version number that both contents share.
    pub number: u64,
    /// Digest of the content that takes precedence.
    pub winner: ContentDigest,
    /// Digest of the other content.
    pub loser: ContentDigest,
}
