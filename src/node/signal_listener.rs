use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use monoio::time;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};

/// Interval at which the flag set by the signal handlers is polled.
const POLL_INTERVAL: ClockTime = ClockTime(20);

/// Listener for SIGTERM and SIGINT.
#[derive(Debug)]
pub(crate) struct SignalListener {
    flag: Arc<AtomicBool>,
}

impl SignalListener {
    pub(crate) fn new() -> Result<Self> {
        let flag = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, Arc::clone(&flag)).map_err(|error| {
                Error::new(
                    ResultCode::SettingsOutOfRange,
                    format!("failed to register a handler for signal {signal}: {error}"),
                )
            })?;
        }
        Ok(Self { flag })
    }

    /// Waits for the next signal. Signals that arrive before the call count once.
    pub(crate) async fn wait(&self) {
        while !self.flag.swap(false, Ordering::SeqCst) {
            time::sleep(POLL_INTERVAL.to_duration()).await;
        }
    }
}
