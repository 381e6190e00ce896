//! Tests the call path under faults with small fleets of real processes.

mod answers;
mod call_fleet;
mod keys;
mod limits;
mod queue_wait;
mod shutdown;
