use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;

/// Source of the published manifest.
pub trait ConfigSource {
    /// Reads the published manifest, waiting up to `wait` until its revision differs from `after`.
    ///
    /// Each invocation makes exactly one call to the configuration service.
    ///
    /// # Errors
    ///
    /// Returns `PlatformUnreachable` if the platform does not answer and `PlatformInvalid` if its
    /// answer is malformed.
    fn read_manifest(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<ConfigRead>>;
}

/// Result of one read of the configuration service.
#[derive(Debug, Clone)]
pub enum ConfigRead {
    /// The revision did not change within the wait.
    Unchanged,
    /// The published value and its revision.
    Value {
        /// Revision assigned by the platform, unrelated to the number in the manifest.
        revision: u64,
        /// Published bytes.
        bytes: Bytes,
    },
}
