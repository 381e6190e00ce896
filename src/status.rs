//! Status that a node reports to operators.

mod applied_group;
mod call_explanation;
mod node_status;
mod refused_version;
mod version_conflict;

pub use applied_group::AppliedGroup;
pub use call_explanation::{CallExplanation, EndpointView};
pub use node_status::NodeStatus;
pub use refused_version::RefusedVersion;
pub use version_conflict::VersionConflict;
