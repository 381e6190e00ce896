//! Distribution of configuration versions between nodes.
//!
//! Determines which version is in force on a node, which nodes read the configuration service, and
//! which control messages are sent to which peers.

mod applied_set;
mod control_action;
mod control_messages;
mod control_offer;
mod control_settings;
mod control_state;
mod control_tick;
mod delta_log;
mod fetch_state;
mod fleet_view;
mod link_state;
mod neighbor_set;
mod read_budget;
mod read_schedule;
mod reader_rank;
mod readiness_state;
mod token_bucket;
mod version_tracker;
mod version_transfer;

pub use applied_set::AppliedSet;
pub use control_action::{Actions, ControlAction};
pub use control_settings::ControlSettings;
pub use control_state::ControlState;
pub use delta_log::DeltaLog;
pub use fleet_view::FleetView;
pub use neighbor_set::{LinkChange, NeighborSet};
pub use read_budget::ReadBudget;
pub use reader_rank::{ReaderRank, ReaderRole};
pub use readiness_state::ReadinessState;
pub use version_tracker::{OfferOutcome, RefusedVersion, VersionConflict, VersionTracker};
