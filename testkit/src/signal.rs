//! Stopping on signals.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts;
use signal_hook::flag;

/// Makes SIGTERM end the process at once with exit code 0.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn exit_on_term() -> io::Result<()> {
    flag::register_conditional_shutdown(consts::SIGTERM, 0, Arc::new(AtomicBool::new(true)))?;
    Ok(())
}
