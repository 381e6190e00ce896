use crate::clock::ClockTime;
use crate::id::KindName;

/// Describes a call that asks for a slot.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Number unique within the node.
    pub id: u64,
    /// Kind of the call.
    pub kind: KindName,
    /// Value of one completed, timely call.
    pub weight: u32,
    /// Whether the manifest flags the kind as long.
    pub long: bool,
    /// Instant after which the answer is worthless.
    pub deadline: ClockTime,
}
