//! Regions in which the requests of a route may be served.

mod home_regions;
mod scarcity_meter;

pub use home_regions::HomeRegions;
pub use scarcity_meter::ScarcityMeter;
