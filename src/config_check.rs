//! Check of a configuration before it is published.
//!
//! The nodes reject a configuration that is invalid as a whole. This check also finds what is valid and
//! yet not meant: entries that can never match, limits that contradict each other, and what differs from
//! the configuration in force.

mod config_difference;
mod config_finding;
mod config_rules;

pub use config_difference::compare;
pub use config_finding::{ConfigFinding, FindingLevel};
pub use config_rules::{CheckedInstance, check};
