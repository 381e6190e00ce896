//! The event loop that every program runs on.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

use crate::error::{Error, Result, ResultCode};

/// Runs a future to its end on an event loop of this thread.
///
/// The driver is epoll, because the instances rule out io_uring.
///
/// # Errors
///
/// `SettingsOutOfRange` if the event loop cannot be started.
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
