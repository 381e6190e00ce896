use std::sync::Arc;

use crate::id::EndpointId;
use crate::mesh::{EndpointRecord, MeshConfig};

/// Is one change that a read of the registry reports.
#[derive(Debug, Clone)]
pub enum RegistryChange {
    /// A configuration was published.
    Config(Arc<MeshConfig>),
    /// An endpoint published its state.
    Endpoint(EndpointRecord),
    /// The entry of an endpoint was removed, or no longer names an endpoint.
    EndpointRemoved(EndpointId),
}

/// Is what one read of the registry returned.
#[derive(Debug)]
pub struct RegistryRead {
    /// Position in the registry's history up to which the changes reach.
    pub position: u64,
    /// Whether the changes are all endpoints, so that what is absent has been removed.
    pub is_snapshot: bool,
    /// Changes in their order.
    pub changes: Vec<RegistryChange>,
}
