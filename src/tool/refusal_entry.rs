use serde::Serialize;

use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::tool;
use crate::version::ContentDigest;

/// Refusal of a version by one node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RefusalEntry {
    /// Version number, or zero if it could not be decoded.
    pub number: u64,
    /// Digest of the published bytes, or the digest in the stamp if a peer sent the version.
    #[serde(serialize_with = "tool::serialize_display")]
    pub digest: ContentDigest,
    /// Node that refused the version.
    pub node: NodeAddress,
    /// Result code of the refusal.
    pub code: ResultCode,
    /// Error message; empty if no queried node has it.
    pub message: String,
}
