use serde::Serialize;

use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::tool;
use crate::version::ContentDigest;

/// Reports who refused which version.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RefusalEntry {
    /// Number; zero if it could not be read.
    pub number: u64,
    /// Digest of the published bytes, or that of the stamp if a peer sent the version.
    #[serde(serialize_with = "tool::serialize_display")]
    pub digest: ContentDigest,
    /// Node that refused.
    pub node: NodeAddress,
    /// Reason.
    pub code: ResultCode,
    /// Reason in words; empty if no asked node knows it.
    pub message: String,
}
