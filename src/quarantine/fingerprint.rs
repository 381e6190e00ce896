use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::ServiceName;

/// Digest of what identifies a request that is sent again: method, target, caller and body.
///
/// The identifier of a request is not part of it, since each attempt has its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    #[must_use]
    pub fn of(method: &str, target: &str, caller: &ServiceName, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method, target, caller.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(digest)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
