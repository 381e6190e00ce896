use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::quarantine::{CrashId, Fingerprint};

/// What one node tells another of a request that was at work at crashes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// The request.
    pub request: Fingerprint,
    /// The crashes, at most [`SuspectEntry::MAX_CRASH_COUNT`].
    pub crashes: SmallVec<[CrashReport; 4]>,
}

impl SuspectEntry {
    /// Maximum number of crashes that are kept of a request.
    pub const MAX_CRASH_COUNT: usize = 8;
}

/// A crash at which a request was at work.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation that crashed.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: ClockTime,
    /// Whether no other request was at work, or none that was at work at an earlier crash.
    pub is_sole: bool,
    /// Whether the request has since run to its end, so that something else caused the crash.
    pub is_refuted: bool,
}
