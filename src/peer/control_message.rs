use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{NodeAddress, NodeIncarnation, ServiceName, ZoneName};
use crate::membership::MemberEntry;
use crate::version::{ContentDigest, VersionStamp};

/// Message on a control stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Introduces the sender; the first message of each side.
    Hello(NodeHello),
    /// Reports once a second that the sender is alive, with the versions of its state.
    Heartbeat {
        /// Version in force at the sender.
        stamp: VersionStamp,
        /// Age of the most recent read of the configuration service that the sender knows of.
        read_age: ClockTime,
        /// Digest of the sender's member table.
        member_digest: u64,
    },
    /// Carries the changes from one version to a newer one.
    Delta(VersionDelta),
    /// Requests the index of a version.
    IndexRequest(VersionStamp),
    /// Lists the pieces of a version, sorted by service.
    Index {
        /// Version that the index describes.
        stamp: VersionStamp,
        /// Digest of each service's piece.
        entries: Vec<(ServiceName, ContentDigest)>,
    },
    /// Requests pieces by digest.
    PieceRequest(Vec<ContentDigest>),
    /// Carries encoded pieces.
    Pieces(Vec<PieceBlob>),
    /// Requests the complete member table.
    MembersRequest,
    /// Carries the changed member entries, or all of them.
    Members(Vec<MemberEntry>),
    /// Reports that the reporter could not reach a node.
    Suspicion {
        /// Node that could not be reached.
        subject: NodeAddress,
        /// Incarnation that could not be reached.
        incarnation: NodeIncarnation,
        /// Node that reports the failure.
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
        /// Node that refused the version.
        node: NodeAddress,
        /// Reason for the refusal.
        code: ResultCode,
    },
    /// Announces a version that the sender has just put in force; a peer that does not receive the
    /// changes from another node requests them.
    Announce(VersionStamp),
}

/// Introduction of a node on a new control link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeHello {
    /// Member entry of the node.
    pub member: MemberEntry,
    /// Version in force.
    pub stamp: VersionStamp,
    /// Whether the node has started up and serves from a verified version.
    pub ready: bool,
}

/// Changes from one version to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionDelta {
    /// Version that the changes apply to.
    pub from: VersionStamp,
    /// Version after the changes.
    pub to: VersionStamp,
    /// Added and changed pieces.
    pub changed: Vec<PieceBlob>,
    /// Services that are absent from the newer version.
    pub removed: Vec<ServiceName>,
}

/// Encoded [`ServicePiece`](crate::manifest::ServicePiece).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceBlob {
    /// Service of the piece.
    pub service: ServiceName,
    /// Piece in bincode encoding.
    pub bytes: Vec<u8>,
}
