use serde::{Deserialize, Serialize};

use crate::peer::FrameCodec;
use crate::quarantine::SuspectEntry;

/// Path of messages about suspected requests.
pub(crate) const QUARANTINE_PATH: &str = "/quarantine/1";
/// Maximum size of a message.
pub(crate) const MAX_QUARANTINE_BYTES: usize = 64 * 1024;
/// Maximum number of requests in a message.
pub(crate) const MAX_ENTRY_COUNT: usize = 64;

/// Codec of messages about suspected requests.
pub(crate) type QuarantineCodec = FrameCodec<MAX_QUARANTINE_BYTES>;

/// What a node tells another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QuarantineMessage {
    pub(crate) entries: Vec<SuspectEntry>,
    /// Whether the sender has just started and asks for what the other node knows.
    pub(crate) is_question: bool,
}

/// The response, without entries unless the message is a question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct QuarantineReply {
    pub(crate) entries: Vec<SuspectEntry>,
}
