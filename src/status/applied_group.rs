use serde::{Deserialize, Serialize};

use crate::id::NodeAddress;
use crate::version::VersionStamp;

/// Lists nodes that have the same version in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppliedGroup {
    /// Highest version that the nodes are known to have put in force.
    pub stamp: VersionStamp,
    /// The nodes, by address.
    pub nodes: Vec<NodeAddress>,
}
