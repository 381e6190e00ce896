use serde::{Deserialize, Serialize};

use crate::id::NodeAddress;
use crate::version::VersionStamp;

/// Nodes that have applied the same version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppliedGroup {
    /// Highest version that the nodes are known to have applied.
    pub stamp: VersionStamp,
    /// Addresses of the nodes, in ascending order.
    pub nodes: Vec<NodeAddress>,
}
