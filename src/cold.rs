//! Protection of endpoints that have just started and tolerate few requests per second.

mod arrival_limiter;
mod cold_room;
mod cold_state;
mod cold_task;

pub use arrival_limiter::ArrivalLimiter;
pub use cold_room::ColdRoom;
pub use cold_state::{ColdPhase, ColdState};
pub(crate) use cold_task::ColdTask;
