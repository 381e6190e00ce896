/// States how a node ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeExit {
    /// Every call that the node held was finished.
    Clean,
    /// The shutdown was forced and cut this many calls.
    Aborted(usize),
}

impl NodeExit {
    /// Returns the exit code of the process: 0, or 3 if calls were cut.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Clean => 0,
            Self::Aborted(_) => 3,
        }
    }
}
