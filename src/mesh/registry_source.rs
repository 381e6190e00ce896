use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::mesh::{ConfigRead, HistoryPosition, RegistryRead};
use crate::size::ByteSize;

/// A source of the configuration and the endpoints in the registry of the platform.
pub trait RegistrySource {
    /// Reads the first page of the list of endpoints.
    ///
    /// # Errors
    ///
    /// `PlatformUnreachable` if the registry does not respond, `PlatformInvalid` if its response is
    /// invalid.
    fn first_endpoints(&self) -> LocalBoxFuture<'_, Result<RegistryRead>>;

    /// Reads the pages that follow the first one; returns the whole list, at the position of the
    /// first page.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the registry was restored since the first page was read; otherwise as for
    /// [`RegistrySource::first_endpoints`].
    fn all_endpoints(&self, first: RegistryRead) -> LocalBoxFuture<'_, Result<RegistryRead>>;

    /// Reads the latest configuration and the evacuated availability zones.
    ///
    /// # Errors
    ///
    /// As for [`RegistrySource::all_endpoints`].
    fn config(&self) -> LocalBoxFuture<'_, Result<ConfigRead>>;

    /// Waits for changes after `position`, for at most `wait`, and returns them, or `None` if they
    /// exceed `limit`.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the history no longer reaches back to `position` or the registry was restored
    /// since; otherwise as for [`RegistrySource::first_endpoints`].
    fn watch(
        &self,
        position: HistoryPosition,
        wait: ClockTime,
        limit: ByteSize,
    ) -> LocalBoxFuture<'_, Result<Option<RegistryRead>>>;

    /// Waits for changes of endpoints after `position`, for at most `wait`, and returns them.
    ///
    /// # Errors
    ///
    /// As for [`RegistrySource::watch`].
    fn watch_endpoints(
        &self,
        position: HistoryPosition,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<RegistryRead>>;

    /// Returns the changes of the configuration and of the evacuated availability zones after
    /// `position`, or `None` if they exceed `limit`.
    ///
    /// # Errors
    ///
    /// As for [`RegistrySource::watch`].
    fn config_changes(
        &self,
        position: HistoryPosition,
        limit: ByteSize,
    ) -> LocalBoxFuture<'_, Result<Option<RegistryRead>>>;
}
