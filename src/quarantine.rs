//! Requests that crash the endpoints that run them.

mod crash_watch;
mod fingerprint;

pub use crash_watch::CrashWatch;
pub use fingerprint::Fingerprint;
