use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::membership::MemberEntry;
use crate::status::{AppliedGroup, RefusedVersion, VersionConflict};
use crate::version::VersionStamp;

/// Is the answer of `/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's own entry.
    pub member: MemberEntry,
    /// Whether the node serves calls.
    pub ready: bool,
    /// Time since the start of the process.
    pub uptime: ClockTime,
    /// Version in force here.
    pub stamp: VersionStamp,
    /// Nodes of the zone, this one included, by the highest version that each is known to have
    /// put in force; the newest version is last.
    pub applied: Vec<AppliedGroup>,
    /// Age of the freshest read of the configuration service that the node knows of.
    pub read_age: ClockTime,
    /// Reads that gave an older version than the one held.
    pub stale_reads: u64,
    /// Versions refused lately.
    pub refused: Vec<RefusedVersion>,
    /// Conflicting contents seen lately.
    pub conflicts: Vec<VersionConflict>,
    /// Live members known.
    pub live_members: usize,
    /// Control links open.
    pub links: usize,
}
