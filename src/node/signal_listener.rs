use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use monoio::time;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};

/// Time between two looks at the flag that signals set.
const POLL_INTERVAL: ClockTime = ClockTime(20);

/// Waits for SIGTERM or SIGINT.
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
                    format!("signal {signal} cannot be handled: {error}"),
                )
            })?;
        }
        Ok(Self { flag })
    }

    /// Waits for the next signal.
    pub(crate) async fn wait(&self) {
        while !self.flag.swap(false, Ordering::SeqCst) {
            time::sleep(POLL_INTERVAL.to_duration()).await;
        }
    }
}
