use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::id::EndpointId;
use crate::mesh::{ConfigDelta, ConfigSnapshot, ConfigVersion, EndpointRecord};
use crate::peer::FrameCodec;
use crate::sidecar::compressed_config::CompressedConfig;

/// Longest view, in bytes: 5,500 endpoints of 150 bytes and a configuration of 1 MB.
pub(crate) const VIEW_LIMIT: usize = 4 << 20;

/// Codec of views.
pub(crate) type ViewCodec = FrameCodec<VIEW_LIMIT>;

/// Marks a state of the view of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ViewCursor {
    /// Random number of the process.
    pub(crate) process: u64,
    /// Number of the last change of its directory.
    pub(crate) number: u64,
}

/// Asks a node for what it knows of the mesh.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ViewRequest {
    /// State that the sender got from this node last.
    pub(crate) cursor: Option<ViewCursor>,
    /// Configuration that the sender has in force.
    pub(crate) version: Option<ConfigVersion>,
    /// Age of the sender's own view.
    pub(crate) age: ClockTime,
    /// Longest wait for a fresher view.
    pub(crate) wait: ClockTime,
}

/// Is a newer configuration, or what changed in it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ConfigUpdate {
    Snapshot(ConfigSnapshot),
    Delta(ConfigDelta),
}

/// Is an endpoint as a node knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ViewEntry {
    pub(crate) record: EndpointRecord,
    /// Whether the registry lost the entry in an outage and it may come back.
    pub(crate) missing: bool,
}

/// Tells what a node knows of the mesh.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ViewReply {
    pub(crate) cursor: ViewCursor,
    /// Position in the registry's history that the view reflects.
    pub(crate) position: u64,
    /// Time since the registry confirmed the view; `None` if it never did.
    pub(crate) age: Option<ClockTime>,
    /// Version of the configuration in force.
    pub(crate) version: Option<ConfigVersion>,
    /// The configuration in force, if it is newer than that of the sender.
    pub(crate) config: Option<CompressedConfig>,
    /// Whether the entries are all that the node knows.
    pub(crate) is_snapshot: bool,
    pub(crate) entries: Vec<ViewEntry>,
    pub(crate) removed: Vec<EndpointId>,
}
