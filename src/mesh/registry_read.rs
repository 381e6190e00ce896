use std::sync::Arc;

use crate::id::{EndpointId, ZoneName};
use crate::mesh::{EndpointRecord, HistoryPosition, MeshConfig};
use crate::size::ByteSize;

/// One change reported by a registry read.
#[derive(Debug, Clone)]
pub enum RegistryChange {
    /// A configuration was published.
    Config(Arc<MeshConfig>),
    /// An endpoint published its record.
    Endpoint(EndpointRecord),
    /// The entry of an endpoint was removed or is no longer a valid endpoint record.
    EndpointRemoved(EndpointId),
    /// The evacuation of an availability zone was requested (true) or taken back.
    Evacuation(ZoneName, bool),
}

/// The result of one registry read.
#[derive(Debug)]
pub struct RegistryRead {
    /// Position in the registry history that the changes reach.
    pub position: HistoryPosition,
    /// Position of the last page; `changes` may hold changes up to it.
    pub last_position: HistoryPosition,
    /// Whether `changes` lists all endpoints, so that any other endpoint has been removed.
    pub is_snapshot: bool,
    /// Changes in the order of the history.
    pub changes: Vec<RegistryChange>,
    /// Key after which the list of endpoints continues; `None` if it is complete.
    pub continues_after: Option<String>,
    /// Size of the bodies of the responses.
    pub size: ByteSize,
}

/// The result of reading the configuration.
#[derive(Debug)]
pub struct ConfigRead {
    /// Position in the registry history at which the configuration was read.
    pub position: HistoryPosition,
    /// The latest configuration; `None` if there is no usable one.
    pub config: Option<Arc<MeshConfig>>,
    /// The availability zones to be evacuated.
    pub evacuated: Vec<ZoneName>,
    /// Size of the bodies of the responses.
    pub size: ByteSize,
}
