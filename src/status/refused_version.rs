use serde::{Deserialize, Serialize};

use crate::error::ResultCode;
use crate::id::NodeAddress;
use crate::version::ContentDigest;

/// A version that a node refused because it is invalid.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusedVersion {
    /// Version number, or zero if it could not be parsed.
    pub number: u64,
    /// Digest of the published bytes, or the digest in the stamp if the version came from a peer.
    pub digest: ContentDigest,
    /// Node that refused the version.
    pub node: NodeAddress,
    /// Result code of the validation error.
    pub code: ResultCode,
    /// Message of the validation error; empty if only the code was forwarded to this node.
    pub message: String,
}
