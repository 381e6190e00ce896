use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::mesh::RegistryRead;

/// Reads the configuration and the endpoints that the platform publishes.
pub trait RegistrySource {
    /// Reads the whole content.
    ///
    /// # Errors
    ///
    /// `PlatformUnreachable` or `PlatformInvalid`.
    fn snapshot(&self) -> LocalBoxFuture<'_, Result<RegistryRead>>;

    /// Waits at most `wait` for changes after `position` and returns them.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the history no longer reaches back to `position`, else as for a snapshot.
    fn watch(&self, position: u64, wait: ClockTime) -> LocalBoxFuture<'_, Result<RegistryRead>>;
}
