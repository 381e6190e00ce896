//! The single-threaded event loop used by all binaries.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::error::{Error, Result, ResultCode};

/// Runs a future to completion on an event loop in the current thread.
///
/// The loop uses monoio's epoll driver, because io_uring is not available on the instances.
///
/// # Errors
///
/// Returns `SettingsOutOfRange` if the event loop cannot be started.
pub fn run<Main>(main: Main) -> Result<Main::Output>
where
    Main: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|error| {
            Error::new(
                ResultCode::SettingsOutOfRange,
                format!("the event loop cannot be started: {error}"),
            )
        })?;
    Ok(runtime.block_on(main))
}
