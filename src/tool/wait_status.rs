use crate::status::RefusedVersion;
use crate::version::{ContentDigest, VersionStamp};

/// States what a snapshot says about the version that a wait is for.
#[derive(Debug, Clone, PartialEq)]
pub enum WaitStatus {
    /// Every live member has the version or a newer one in force.
    InForce {
        /// Live members.
        live: usize,
        /// The version; absent if every node has a newer one.
        stamp: Option<VersionStamp>,
        /// The newest version, if it is newer than the one waited for.
        superseded_by: Option<VersionStamp>,
    },
    /// Some live members are not known to have the version.
    Pending {
        /// Live members known to have the version or a newer one.
        have: usize,
        /// Live members.
        live: usize,
    },
    /// Another content with this digest won under the same number.
    Conflict(ContentDigest),
    /// A node refused the version.
    Refused(RefusedVersion),
}
