use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::config_relay::LinkReport;
use crate::id::{EndpointId, ZoneName};
use crate::mesh::{ConfigDelta, ConfigSnapshot, ConfigVersion, EndpointRecord, HistoryPosition};
use crate::peer::FrameCodec;
use crate::sidecar::compressed_config::CompressedConfig;

/// Maximum size of an encoded view in bytes. It fits 5,500 endpoints of 150 bytes and a
/// configuration of 1 MB.
pub(crate) const VIEW_LIMIT: usize = 4 << 20;

/// Codec of view requests and replies.
pub(crate) type ViewCodec = FrameCodec<VIEW_LIMIT>;

/// Identifier of a state of the view of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ViewCursor {
    /// Random identifier of the process.
    pub(crate) process: u64,
    /// Generation of its directory.
    pub(crate) number: u64,
}

/// Request for the mesh view of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ViewRequest {
    /// Address of the sender.
    pub(crate) sender: IpAddr,
    /// The last state that the sender received from this node.
    pub(crate) cursor: Option<ViewCursor>,
    /// Position in the registry's history that the sender's endpoints reflect, for a node from which
    /// it has not received a state.
    pub(crate) position: HistoryPosition,
    /// Version of the configuration that the sender has installed.
    pub(crate) version: Option<ConfigVersion>,
    /// Age of the sender's endpoints.
    pub(crate) age: ClockTime,
    /// Longest time to wait for a fresher view.
    pub(crate) wait: ClockTime,
    /// Whether the other node is to read the configuration at `position` or later before it replies.
    pub(crate) wants_config: bool,
    /// The fastest links that the sender knows of, its own included.
    pub(crate) links: SmallVec<[LinkReport; 3]>,
}

/// A newer configuration, in full or as a delta.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ConfigUpdate {
    Snapshot(ConfigSnapshot),
    Delta(ConfigDelta),
}

/// An endpoint in the view of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ViewEntry {
    pub(crate) record: EndpointRecord,
    /// Whether the registry entry is missing after an outage and the endpoint may register again.
    pub(crate) missing: bool,
}

/// The mesh view of a node, in full or as changes since a cursor.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ViewReply {
    /// State of the view, for the next request.
    pub(crate) cursor: ViewCursor,
    /// Position in the registry's history that the view reflects.
    pub(crate) position: HistoryPosition,
    /// Position that the endpoints reflect, which may be later.
    pub(crate) listed_position: HistoryPosition,
    /// Latest position of which the endpoints may reflect a change.
    pub(crate) seen_position: HistoryPosition,
    /// Time from the arrival of the request to the reply.
    pub(crate) held: ClockTime,
    /// Age of the endpoints; `None` if the view has never been synchronized.
    pub(crate) age: Option<ClockTime>,
    /// Age of the configuration, which is higher while a new one is being received.
    pub(crate) config_age: Option<ClockTime>,
    /// Time for which the node has known the endpoints without a gap. A removal before is not known.
    pub(crate) known_for: ClockTime,
    /// Time for which the node keeps endpoints whose entries are missing.
    pub(crate) missing_kept_for: ClockTime,
    /// Version of the installed configuration.
    pub(crate) version: Option<ConfigVersion>,
    /// Update to the installed configuration, if it is newer than that of the requesting node.
    pub(crate) config: Option<CompressedConfig>,
    /// Availability zones to whose endpoints nothing is to be sent.
    pub(crate) evacuated: Vec<ZoneName>,
    /// Whether `entries` lists all endpoints in the view.
    pub(crate) is_snapshot: bool,
    pub(crate) entries: Vec<ViewEntry>,
    pub(crate) removed: Vec<EndpointId>,
}
