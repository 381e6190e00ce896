//! Log output and rate limiting of repeated events.

mod log_queue_writer;
mod log_rate_limiter;

use std::io;

use log::LevelFilter;

use crate::error::{Error, Result, ResultCode};

pub use log_queue_writer::LogThread;
pub use log_rate_limiter::LogRateLimiter;

use log_queue_writer::LogQueueWriter;

/// Initializes logging of the given level and above to standard error.
///
/// # Errors
///
/// Returns `SettingsOutOfRange` if a logger has already been set.
pub fn init(level: LevelFilter) -> Result<()> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("endive")
        .build();
    simplelog::WriteLogger::init(level, config, io::stderr()).map_err(|error| {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!("cannot initialize logging: {error}"),
        )
    })
}

/// Initializes logging of the given level and above to standard output without blocking the caller.
///
/// # Errors
///
/// Returns `SettingsOutOfRange` if a logger has already been set or the writer thread cannot be
/// started.
pub fn init_non_blocking(level: LevelFilter) -> Result<LogThread> {
    let init_error = |cause: String| {
        let message = format!("cannot initialize logging: {cause}");
        Error::new(ResultCode::SettingsOutOfRange, message)
    };
    let (writer, thread) =
        LogQueueWriter::start(io::stdout()).map_err(|error| init_error(error.to_string()))?;
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("endive")
        .build();
    simplelog::WriteLogger::init(level, config, writer)
        .map_err(|error| init_error(error.to_string()))?;
    Ok(thread)
}
