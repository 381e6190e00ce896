use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id::{KindName, ServiceName};
use crate::manifest::KindEntry;
use crate::size::SlotCount;

/// Describes a service after inheritance has been resolved.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Protocol of its backend servers; `http1` is the only one.
    pub protocol: String,
    /// Calls that one backend server runs at the same time.
    pub slots: SlotCount,
    /// Connections that one backend server accepts.
    pub connections: u32,
    /// Kinds of request.
    pub kinds: SmallVec<[KindEntry; 4]>,
}

impl ServiceEntry {
    /// Returns the kind with the given name.
    #[must_use]
    pub fn kind(&self, name: &KindName) -> Option<&KindEntry> {
        self.kinds.iter().find(|kind| kind.name == *name)
    }
}
