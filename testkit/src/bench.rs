//! Measurements of the call path on small fleets of real processes.

mod bench_fleet;
mod bench_plan;
mod capacity_bound;
mod leave_part;
mod load_part;
mod overhead_benchmark;

pub use bench_fleet::BenchFleet;
pub use bench_plan::BenchPlan;
pub use capacity_bound::CapacityBound;
pub use leave_part::LeavePart;
pub use load_part::LoadPart;
pub use overhead_benchmark::OverheadBenchmark;
