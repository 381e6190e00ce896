//! Log output and protection against repeated events.

mod log_queue_writer;
mod log_rate_limiter;

use std::io;

use log::LevelFilter;

use crate::error::{Error, Result, ResultCode};

pub use log_queue_writer::LogThread;
pub use log_rate_limiter::LogRateLimiter;

use log_queue_writer::LogQueueWriter;

/// Sends log lines of the given level and above to standard error.
///
/// # Errors
///
/// `SettingsOutOfRange` if a logger has been set before.
pub fn init(level: LevelFilter) -> Result<()> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("endive")
        .build();
    simplelog::WriteLogger::init(level, config, io::stderr())
        .map_err(|error| Error::new(ResultCode::SettingsOutOfRange, format!("log: {error}")))
}

/// Sends log lines of the given level and above to standard output, without ever blocking.
///
/// # Errors
///
/// `SettingsOutOfRange` if a logger has been set before or no thread can be started.
pub fn init_non_blocking(level: LevelFilter) -> Result<LogThread> {
    let failed = |what: String| Error::new(ResultCode::SettingsOutOfRange, format!("log: {what}"));
    let (output, writer) =
        LogQueueWriter::start(io::stdout()).map_err(|error| failed(error.to_string()))?;
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("endive")
        .build();
    simplelog::WriteLogger::init(level, config, output)
        .map_err(|error| failed(error.to_string()))?;
    Ok(writer)
}
