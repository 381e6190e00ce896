use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::membership::MemberEntry;
use crate::status::{AppliedGroup, RefusedVersion, VersionConflict};
use crate::version::VersionStamp;

/// Response body of `/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Member entry of the node.
    pub member: MemberEntry,
    /// Whether the node is ready to serve calls.
    pub ready: bool,
    /// Time since the start of the process.
    pub uptime: ClockTime,
    /// Version in force on the node.
    pub stamp: VersionStamp,
    /// Nodes of the zone, including this one, grouped by the highest version that each is known to
    /// have applied; the newest version is last.
    pub applied: Vec<AppliedGroup>,
    /// Age of the most recent known read of the configuration service by any node.
    pub read_age: ClockTime,
    /// Number of reads that returned a version older than the one in force.
    pub stale_reads: u64,
    /// Recently refused versions.
    pub refused: Vec<RefusedVersion>,
    /// Recent conflicts between versions.
    pub conflicts: Vec<VersionConflict>,
    /// Number of live members in the member table.
    pub live_members: usize,
    /// Number of open control links.
    pub links: usize,
}
