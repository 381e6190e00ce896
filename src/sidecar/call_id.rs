use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one attempt that a node forwards, in all of the mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct CallId {
    /// Random number of the sending process.
    pub(crate) sender: u64,
    /// Number of the attempt within the process.
    pub(crate) number: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}-{}", self.sender, self.number)
    }
}
