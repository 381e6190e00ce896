use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifier of one forwarded attempt, unique across the mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct CallId {
    /// Random identifier of the sending process.
    pub(crate) sender: u64,
    /// Sequence number of the attempt within the process.
    pub(crate) number: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}-{}", self.sender, self.number)
    }
}
