use std::net::IpAddr;

use crate::clock::ClockTime;
use crate::id::NodeAddress;
use crate::membership::{MemberEntry, MemberState};

/// Time for which direct knowledge of a node outweighs the platform's list.
const DIRECT_LIFETIME: ClockTime = ClockTime(30_000);

/// Holds an entry with what this node knows about its origin.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) entry: MemberEntry,
    /// Peer that the last change came from; the change is not sent back to it.
    pub(crate) source: Option<NodeAddress>,
    /// Last time the node itself was heard on a link.
    pub(crate) heard: Option<ClockTime>,
    /// Whether the last list that this node read had the instance.
    pub(crate) listed: bool,
    /// Whether a list that had the instance was followed by one that does not.
    pub(crate) unlisted: bool,
    /// Time before which the list does not remove the node, because it may yet answer.
    pub(crate) spared: ClockTime,
    /// Time when the entry became a tombstone.
    pub(crate) gone_at: Option<ClockTime>,
    /// Position in the order of changes.
    pub(crate) sequence: u64,
}

impl MemberRecord {
    pub(crate) fn new(entry: MemberEntry) -> Self {
        Self {
            entry,
            source: None,
            heard: None,
            listed: false,
            unlisted: false,
            spared: ClockTime(0),
            gone_at: None,
            sequence: 0,
        }
    }

    pub(crate) fn is_heard(&self, now: ClockTime) -> bool {
        self.heard.is_some_and(|at| now - at < DIRECT_LIFETIME)
    }

    /// Returns whether the list asks for the removal of the node.
    pub(crate) fn is_missing(&self) -> bool {
        self.unlisted && self.gone_at.is_none()
    }

    /// Returns this entry's share of the table digest; tombstones have none.
    ///
    /// Tombstones expire at different times at different nodes, so counting them would make equal
    /// tables differ.
    pub(crate) fn weight(&self) -> u64 {
        if self.entry.state == MemberState::Gone {
            return 0;
        }
        let mut hasher = blake3::Hasher::new();
        match self.entry.address.0.ip() {
            IpAddr::V4(ip) => hasher.update(&ip.octets()),
            IpAddr::V6(ip) => hasher.update(&ip.octets()),
        };
        hasher.update(&self.entry.address.0.port().to_le_bytes());
        hasher.update(&self.entry.incarnation.0.to_le_bytes());
        hasher.update(&[self.entry.state as u8]);
        let mut head = [0; 8];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(head)
    }
}
