//! Termination on signals.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use signal_hook::consts;
use signal_hook::flag;

/// Installs a SIGTERM handler that exits immediately with code 0.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn exit_on_term() -> io::Result<()> {
    flag::register_conditional_shutdown(consts::SIGTERM, 0, Arc::new(AtomicBool::new(true)))?;
    Ok(())
}

/// Installs a SIGTERM handler that runs the action and then exits with code 0.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn on_term<F>(action: F) -> io::Result<()>
where
    F: FnOnce() + Send + 'static,
{
    let requested = Arc::new(AtomicBool::new(false));
    flag::register(consts::SIGTERM, Arc::clone(&requested))?;
    thread::Builder::new().spawn(move || {
        while !requested.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        action();
        std::process::exit(0);
    })?;
    Ok(())
}
