use serde::Serialize;

use crate::error::ResultCode;
use crate::tool;
use crate::version::ContentDigest;

/// Two different contents that were published under the same version number.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConflictEntry {
    /// Version number.
    pub number: u64,
    /// Digest of the content that takes precedence.
    #[serde(serialize_with = "tool::serialize_display")]
    pub winner: ContentDigest,
    /// Digest of the discarded content.
    #[serde(serialize_with = "tool::serialize_display")]
    pub loser: ContentDigest,
    /// Result code, always `ManifestConflict`.
    pub code: ResultCode,
}
