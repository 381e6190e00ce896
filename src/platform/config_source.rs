use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;

/// Reads the manifest from the configuration service.
pub trait ConfigSource {
    /// Reads the published manifest, waiting up to `wait` for a revision other than `after`.
    ///
    /// One call of this function is one call of the configuration service.
    ///
    /// # Errors
    ///
    /// `PlatformUnreachable` or `PlatformInvalid`.
    fn read_manifest(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<ConfigRead>>;
}

/// Holds what one read of the configuration service gave.
#[derive(Debug, Clone)]
pub enum ConfigRead {
    /// Nothing changed within the wait.
    Unchanged,
    /// The published bytes and the revision under which the platform holds them.
    Value {
        /// Revision of the platform, unrelated to the number in the manifest.
        revision: u64,
        /// Published bytes.
        bytes: Bytes,
    },
}
