//! Measurements of whole fleets: convergence, control bytes, platform calls, processor and memory.

mod convergence_monitor;
mod fleet_fault;
mod fleet_meter;
mod fleet_usage;
mod manifest_generator;
mod sample_set;

pub use convergence_monitor::ConvergenceMonitor;
pub use fleet_fault::FleetFault;
pub use fleet_meter::FleetMeter;
pub use fleet_usage::FleetUsage;
pub use manifest_generator::ManifestGenerator;
pub use sample_set::SampleSet;
