//! Measurements of whole fleets: convergence, control bytes, platform calls, processor and memory.

mod change_plan;
mod convergence_watch;
mod fleet_fault;
mod fleet_meter;
mod fleet_usage;
mod sample_set;

pub use change_plan::ChangePlan;
pub use convergence_watch::ConvergenceWatch;
pub use fleet_fault::FleetFault;
pub use fleet_meter::FleetMeter;
pub use fleet_usage::FleetUsage;
pub use sample_set::SampleSet;
