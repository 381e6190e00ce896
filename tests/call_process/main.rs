//! The call path under faults, with real processes on small fleets.

mod answers;
mod call_fleet;
mod keys;
mod limits;
mod queue_wait;
mod shutdown;
