//! Endpoints that say in their own responses that they shut down.

mod leaving_set;

pub use leaving_set::LeavingSet;
