use std::sync::Arc;

use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::mesh::{MeshConfig, RegistryRead};

/// Reads the configuration and the endpoints that the platform publishes.
pub trait RegistrySource {
    /// Reads all endpoints.
    ///
    /// # Errors
    ///
    /// `PlatformUnreachable` or `PlatformInvalid`.
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<RegistryRead>>;

    /// Reads the newest configuration; `None` if there is none that can be used.
    ///
    /// # Errors
    ///
    /// As for all endpoints.
    fn config(&self) -> LocalBoxFuture<'_, Result<Option<Arc<MeshConfig>>>>;

    /// Waits at most `wait` for changes after `position` and returns them.
    ///
    /// # Errors
    ///
    /// `HistoryGone` if the history no longer reaches back to `position`, else as for all
    /// endpoints.
    fn watch(&self, position: u64, wait: ClockTime) -> LocalBoxFuture<'_, Result<RegistryRead>>;
}
