//! Identity and total order of configuration versions.

mod content_digest;
mod version_stamp;

pub use content_digest::ContentDigest;
pub use version_stamp::VersionStamp;
