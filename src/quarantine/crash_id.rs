use serde::{Deserialize, Serialize};

use crate::id::EndpointId;

/// Digest of the incarnation of an endpoint that crashed, which crashes only once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the digest of an incarnation, given its identifier and start time.
    #[must_use]
    pub fn of(endpoint: &EndpointId, born: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.to_le_bytes());
        hasher.update(endpoint.as_str().as_bytes());
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(digest))
    }
}
