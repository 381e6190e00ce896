use crate::clock::ClockTime;
use crate::id::{KindName, NodeAddress};

/// Reports the end of a call to the policy that chose its endpoint.
#[derive(Debug, Clone)]
pub struct CallCompletion {
    /// Endpoint that was chosen.
    pub address: NodeAddress,
    /// Kind that was passed to `call_started`.
    pub kind: KindName,
    /// Time that was passed to `call_started`.
    pub started: ClockTime,
    /// How the call ended.
    pub status: CompletionStatus,
    /// Time from start to end in fractional ms.
    pub latency_ms: f64,
    /// Load that the reply carried, per slot in thousandths, if there was a reply.
    pub load: Option<u32>,
}

/// States how a call ended as seen by its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionStatus {
    /// A whole answer arrived.
    Answered,
    /// The endpoint was unreachable, broke the connection or let the deadline pass.
    Failed,
    /// The endpoint refused the call; neither a failure nor a latency sample.
    Refused,
    /// The sender gave the call up, for example as the loser of a hedge.
    Cancelled,
}
