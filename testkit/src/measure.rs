//! Benchmarks of whole fleets: convergence time, control traffic, platform calls, CPU and memory.

mod convergence_monitor;
mod fleet_benchmark;
mod fleet_fault;
mod fleet_usage;
mod manifest_generator;
mod sample_set;

pub use convergence_monitor::ConvergenceMonitor;
pub use fleet_benchmark::FleetBenchmark;
pub use fleet_fault::FleetFault;
pub use fleet_usage::FleetUsage;
pub use manifest_generator::ManifestGenerator;
pub use sample_set::SampleSet;
