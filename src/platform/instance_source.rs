use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::platform::InstanceList;

/// Reads the lagging list of live and leaving instances.
pub trait InstanceSource {
    /// Reads the list, waiting up to `wait` for a revision other than `after`; `None` if unchanged.
    ///
    /// # Errors
    ///
    /// `PlatformUnreachable` or `PlatformInvalid`.
    fn read_instances(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<Option<InstanceList>>>;
}
