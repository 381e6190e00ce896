//! Measurements of the call path on small fleets of real processes.

mod added_part;
mod bench_fleet;
mod bench_plan;
mod capacity_bound;
mod leave_part;
mod load_part;

pub use added_part::AddedPart;
pub use bench_fleet::BenchFleet;
pub use bench_plan::BenchPlan;
pub use capacity_bound::CapacityBound;
pub use leave_part::LeavePart;
pub use load_part::LoadPart;
