use crate::status::RefusedVersion;
use crate::version::{ContentDigest, VersionStamp};

/// Status of the awaited version in a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub enum WaitStatus {
    /// Every live member has the version or a newer one in force.
    InForce {
        /// Number of live members.
        live: usize,
        /// The awaited version; `None` if every node has a newer one.
        stamp: Option<VersionStamp>,
        /// The newest version in force, if it is newer than the awaited one.
        superseded_by: Option<VersionStamp>,
    },
    /// At least one live member is not known to have the version in force.
    Pending {
        /// Number of live members known to have the version or a newer one in force.
        have: usize,
        /// Number of live members.
        live: usize,
    },
    /// Another content with the same number and this digest takes precedence.
    Conflict(ContentDigest),
    /// A node refused the version.
    Refused(RefusedVersion),
}
