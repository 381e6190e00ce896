//! Log output and protection against repeated events.

mod event_gate;

use std::io;

use log::LevelFilter;

use crate::error::{Error, Result, ResultCode};

pub use event_gate::EventGate;

/// Sends log lines of the given level and above to standard error.
///
/// # Errors
///
/// `SettingsOutOfRange` if a logger has been set before.
pub fn start(level: LevelFilter) -> Result<()> {
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("endive")
        .build();
    simplelog::WriteLogger::init(level, config, io::stderr())
        .map_err(|error| Error::new(ResultCode::SettingsOutOfRange, format!("log: {error}")))
}
