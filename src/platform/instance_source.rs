use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::platform::InstanceList;

/// Source of the platform's instance list, which lags behind the actual state.
pub trait InstanceSource {
    /// Reads the list, waiting up to `wait` until its revision differs from `after`.
    ///
    /// Returns `None` if the revision did not change.
    ///
    /// # Errors
    ///
    /// Returns `PlatformUnreachable` if the platform does not answer and `PlatformInvalid` if its
    /// answer is malformed.
    fn read_instances(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<Option<InstanceList>>>;
}
