//! Reads of the registry by this node: why and when they are made, and their trace in logs and metrics.

mod config_loop;
mod config_schedule;
mod lag_timer;
mod read_reason;
mod read_trace;

pub use config_schedule::{ConfigLag, config_read_delay, doubling_turn};
pub use lag_timer::LagTimer;
pub use read_reason::ReadReason;
pub(crate) use read_trace::ReadTrace;
