use serde::Serialize;

use crate::error::ResultCode;
use crate::tool;
use crate::version::ContentDigest;

/// Reports two contents of one number.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConflictEntry {
    /// Number.
    pub number: u64,
    /// Digest of the content that won.
    #[serde(serialize_with = "tool::serialize_display")]
    pub winner: ContentDigest,
    /// Digest of the content that lost.
    #[serde(serialize_with = "tool::serialize_display")]
    pub loser: ContentDigest,
    /// Always the code of a version conflict.
    pub code: ResultCode,
}
