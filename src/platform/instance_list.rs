use serde::{Deserialize, Serialize};

use crate::id::{NodeAddress, RegionName, ServiceName, ZoneName};

/// Holds the platform's list of instances, which lags behind the truth.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub revision: u64,
    /// Instances in any order.
    pub instances: Vec<InstanceEntry>,
}

/// Describes one instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Peer address of the node beside the backend server.
    pub address: NodeAddress,
    /// Admin address of the node.
    pub admin: NodeAddress,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// State as the platform knows it.
    pub state: InstanceState,
}

/// States whether an instance takes work, as the platform knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is being taken away.
    Leaving,
}
