use crate::clock::ClockTime;
use crate::id::KindName;

/// Call for which a slot is requested.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Identifier that is unique within the node.
    pub id: u64,
    /// Kind of the call.
    pub kind: KindName,
    /// Value of a call that completes before its deadline.
    pub weight: u32,
    /// Whether the manifest declares the kind as long.
    pub long: bool,
    /// Time after which the response is of no use.
    pub deadline: ClockTime,
}
