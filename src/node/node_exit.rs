/// The outcome of a node's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeExit {
    /// Every call in progress was completed.
    Clean,
    /// The shutdown was forced and aborted this many running or queued calls.
    Aborted(usize),
}

impl NodeExit {
    /// Returns the process exit code: 0 for a clean shutdown, 3 for a forced one.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Aborted(_) => 3,
        }
    }
}
