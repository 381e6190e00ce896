//! The call path under faults, with real processes on small fleets.

mod answers;
mod call_fleet;
mod keys;
mod queue_wait;
