//! Regions in which the requests of a route may be served.

mod home_regions;

pub use home_regions::HomeRegions;
