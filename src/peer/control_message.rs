use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{NodeAddress, NodeIncarnation, ServiceName, ZoneName};
use crate::membership::MemberEntry;
use crate::version::{ContentDigest, VersionStamp};

/// Is one frame on a control stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Opens a link; each side sends it first.
    Hello(NodeHello),
    /// Shows that the sender is alive and what it holds; sent each second.
    Heartbeat {
        /// Version in force at the sender.
        stamp: VersionStamp,
        /// Age of the freshest read of the configuration service that the sender knows of.
        read_age: ClockTime,
        /// Digest of the sender's member table.
        member_digest: u64,
    },
    /// Turns one version into a newer one.
    Delta(VersionDelta),
    /// Asks for the index of a version.
    IndexRequest(VersionStamp),
    /// Lists the pieces of a version, sorted by service.
    Index {
        /// Version described.
        stamp: VersionStamp,
        /// Digest of each service's piece.
        entries: Vec<(ServiceName, ContentDigest)>,
    },
    /// Asks for pieces by digest.
    PieceRequest(Vec<ContentDigest>),
    /// Carries encoded pieces.
    Pieces(Vec<PieceBlob>),
    /// Asks for the whole member table.
    MembersRequest,
    /// Carries changed or all member entries.
    Members(Vec<MemberEntry>),
    /// Reports that the reporter could not reach a node.
    Suspicion {
        /// Node that could not be reached.
        subject: NodeAddress,
        /// Incarnation that could not be reached.
        incarnation: NodeIncarnation,
        /// Node that reports.
        reporter: NodeAddress,
        /// Availability zone of the reporter.
        zone: ZoneName,
    },
    /// Lists nodes of the zone that have a version in force.
    Applied {
        /// Version in force.
        stamp: VersionStamp,
        /// Nodes that have it in force.
        nodes: Vec<NodeAddress>,
    },
    /// Reports that a node refused a published version.
    Refused {
        /// Number of the refused version; zero if it could not be read.
        number: u64,
        /// Digest of the refused bytes.
        digest: ContentDigest,
        /// Node that refused.
        node: NodeAddress,
        /// Reason.
        code: ResultCode,
    },
    /// Names a version that was just put in force; a peer that does not get the change from
    /// another node asks for it.
    Announce(VersionStamp),
}

/// Introduces a node on a new control link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeHello {
    /// The node's own entry.
    pub member: MemberEntry,
    /// Version in force.
    pub stamp: VersionStamp,
    /// Whether the node has finished its start and answers from a verified version.
    pub ready: bool,
}

/// Carries the change from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionDelta {
    /// Version that the change applies to.
    pub from: VersionStamp,
    /// Version after the change.
    pub to: VersionStamp,
    /// Added and changed pieces.
    pub changed: Vec<PieceBlob>,
    /// Services that the newer version does not have.
    pub removed: Vec<ServiceName>,
}

/// Holds one encoded [`ServicePiece`](crate::manifest::ServicePiece).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceBlob {
    /// Service of the piece.
    pub service: ServiceName,
    /// bincode encoding of the piece.
    pub bytes: Vec<u8>,
}
