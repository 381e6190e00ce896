use std::rc::Rc;

use crate::id::EndpointId;
use crate::mesh::EndpointRecord;

/// The changes to a directory since an earlier generation, or its full content.
#[derive(Debug)]
pub struct DirectoryDelta {
    /// Whether `present` lists all endpoints of the directory.
    pub is_snapshot: bool,
    /// Endpoints, each with a flag for a registry entry that is missing after an outage.
    pub present: Vec<(Rc<EndpointRecord>, bool)>,
    /// Endpoints that were removed.
    pub removed: Vec<EndpointId>,
}
