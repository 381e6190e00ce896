use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{KindName, ServiceName};
use crate::manifest::KindEntry;
use crate::size::SlotCount;

/// A service, with inheritance resolved.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Protocol of its backend servers; only `http1` is supported.
    pub protocol: String,
    /// Maximum number of concurrent calls per backend server.
    pub slots: SlotCount,
    /// Maximum number of connections per backend server.
    pub connections: u32,
    /// Request kinds.
    pub kinds: SmallVec<[KindEntry; 4]>,
}

impl ServiceEntry {
    /// Returns the kind with the given name.
    #[must_use]
    pub fn kind(&self, name: &KindName) -> Option<&KindEntry> {
        self.kinds.iter().find(|kind| kind.name == *name)
    }
}
