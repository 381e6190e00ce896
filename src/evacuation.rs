//! Availability zones to whose endpoints nothing more is sent, at the request of the operator.

mod evacuation_set;

pub use evacuation_set::{EvacuationChange, EvacuationSet};
