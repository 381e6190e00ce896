use serde::{Deserialize, Serialize};

use crate::id::{NodeAddress, RegionName, ServiceName, ZoneName};

/// The platform's list of instances, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub revision: u64,
    /// Instances in no particular order.
    pub instances: Vec<InstanceEntry>,
}

/// Entry of one instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Peer address of the instance's node.
    pub address: NodeAddress,
    /// Admin address of the instance's node.
    pub admin: NodeAddress,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Region of the instance.
    pub region: RegionName,
    /// State of the instance according to the platform.
    pub state: InstanceState,
}

/// State of an instance according to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is being removed.
    Leaving,
}
