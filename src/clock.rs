//! Time in milliseconds and detection of process pauses.

mod clock_time;
mod pause_detector;
mod system_clock;

pub use clock_time::ClockTime;
pub use pause_detector::PauseDetector;
pub use system_clock::SystemClock;
