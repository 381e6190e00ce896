use serde::{Deserialize, Serialize};

use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::version::ContentDigest;

/// Reports a published version that a node refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Number of the version; zero if it could not be read.
    pub number: u64,
    /// Digest of the published bytes.
    pub digest: ContentDigest,
    /// Node that refused.
    pub node: NodeAddress,
    /// Reason.
    pub code: ResultCode,
    /// Reason in words; empty if only the code was passed on.
    pub message: String,
}
