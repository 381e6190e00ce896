use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress};

/// Result of a call, reported to the policy that chose its endpoint.
#[derive(Debug, Clone)]
pub struct CallCompletion {
    /// Endpoint to which the call was sent.
    pub address: NodeAddress,
    /// Kind that was passed to `call_started`.
    pub kind: KindName,
    /// Time that was passed to `call_started`.
    pub started: ClockTime,
    /// How the call ended.
    pub status: CompletionStatus,
    /// Duration of the call in ms.
    pub latency_ms: f64,
    /// Load per slot in thousandths as stated in the reply, if there was one.
    pub load: Option<u32>,
}

/// Result of a call as seen by its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionStatus {
    /// A complete response was received.
    Responded,
    /// The endpoint was unreachable, closed the connection or did not respond before the deadline.
    Failed,
    /// The endpoint refused the call. This counts neither as a failure nor as a latency sample.
    Refused,
    /// The sender cancelled the call, for example because the other attempt of a hedged call
    /// succeeded.
    Cancelled,
}
