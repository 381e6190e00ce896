use serde::{Deserialize, Serialize};

use crate::version::ContentDigest;

/// Reports two contents that were published under one number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionConflict {
    /// Number.
    pub number: u64,
    /// Digest of the content that is in force or was superseded later.
    pub winner: ContentDigest,
    /// Digest of the content that lost.
    pub loser: ContentDigest,
}
