//! Development-only emulators, load generators and benchmarks: thread-based HTTP/1.1 servers and
//! clients, management of processes under test, and whole deployments on loopback.

pub mod backend;
pub mod bench;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod platform;
pub mod port_range;
pub mod process;
pub mod proxy;
pub mod signal;
pub mod wire;

pub use crate::fleet::{DeploymentPlan, EndpointPlan, FleetPlan, PeerLinkScope, RunningFleet};
pub use crate::port_range::PortRange;
pub use crate::process::{ProcessGuard, run_to_end};
pub use crate::wire::HttpProbe;
