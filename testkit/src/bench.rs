//! Benchmarks of the call path on small fleets of real processes.

mod bench_fleet;
mod bench_plan;
mod capacity_bound;
mod load_benchmark;
mod overhead_benchmark;
mod removal_benchmark;

pub use bench_fleet::BenchFleet;
pub use bench_plan::BenchPlan;
pub use capacity_bound::CapacityBound;
pub use load_benchmark::LoadBenchmark;
pub use overhead_benchmark::OverheadBenchmark;
pub use removal_benchmark::RemovalBenchmark;
