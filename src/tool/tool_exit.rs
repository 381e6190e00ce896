use crate::error::{Error, ResultCode};

/// Exit status of an `endivectl` command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToolExit {
    /// The command succeeded.
    Success,
    /// The arguments or an input file are invalid.
    Invalid,
    /// The version was refused or lost a conflict.
    Refused,
    /// The wait ended before the version was in force.
    TimedOut,
    /// No node gave a usable answer.
    Unreachable,
}

impl ToolExit {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Invalid => 2,
            Self::Refused => 3,
            Self::TimedOut => 4,
            Self::Unreachable => 5,
        }
    }
}

impl From<&Error> for ToolExit {
    fn from(error: &Error) -> Self {
        match error.code() {
            ResultCode::ManifestConflict | ResultCode::VersionRefused => Self::Refused,
            ResultCode::WaitTimeout => Self::TimedOut,
            ResultCode::PeerUnreachable | ResultCode::PeerProtocol => Self::Unreachable,
            _ => Self::Invalid,
        }
    }
}
