use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::SIGHUP;
use signal_hook::flag;

use crate::error::{Error, Result, ResultCode};

/// Notices SIGHUP, which says that the settings file has changed.
#[derive(Debug)]
pub(crate) struct ReloadSignal {
    flag: Arc<AtomicBool>,
}

impl ReloadSignal {
    /// Handles SIGHUP from now on.
    ///
    /// # Errors
    ///
    /// `SettingsOutOfRange` if the signal cannot be handled.
    pub(crate) fn new() -> Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        flag::register(SIGHUP, Arc::clone(&flag)).map_err(|error| {
            let message = format!("signal {SIGHUP} cannot be handled: {error}");
            Error::new(ResultCode::SettingsOutOfRange, message)
        })?;
        Ok(Self { flag })
    }

    /// Returns whether the signal came since the last call.
    pub(crate) fn take(&self) -> bool {
        self.flag.swap(false, Ordering::SeqCst)
    }
}
