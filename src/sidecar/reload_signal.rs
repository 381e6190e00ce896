use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::SIGHUP;
use signal_hook::flag;

use crate::error::{Error, Result, ResultCode};

/// Receiver of SIGHUP, which requests a reload of the settings file.
#[derive(Debug)]
pub(crate) struct ReloadSignal {
    flag: Arc<AtomicBool>,
}

impl ReloadSignal {
    /// Registers the handler for SIGHUP.
    ///
    /// # Errors
    ///
    /// `SettingsOutOfRange` if the handler cannot be registered.
    pub(crate) fn new() -> Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        flag::register(SIGHUP, Arc::clone(&flag)).map_err(|error| {
            let message = format!("failed to register a handler for signal {SIGHUP}: {error}");
            Error::new(ResultCode::SettingsOutOfRange, message)
        })?;
        Ok(Self { flag })
    }

    /// Returns true if the signal was received since the last call.
    pub(crate) fn take(&self) -> bool {
        self.flag.swap(false, Ordering::SeqCst)
    }
}
