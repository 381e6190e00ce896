use std::net::IpAddr;

use crate::clock::ClockTime;
use crate::id::NodeAddress;
use crate::membership::{MemberEntry, MemberState};

/// Time for which direct contact with a node takes precedence over the platform's list.
const CONTACT_LIFETIME: ClockTime = ClockTime(30_000);

/// Member entry with local information about its origin and lifetime.
#[derive(Debug, Clone)]
pub(crate) struct MemberRecord {
    pub(crate) entry: MemberEntry,
    /// Peer from which the last change was received; the change is not sent back to it.
    pub(crate) source: Option<NodeAddress>,
    /// Time of the last message received directly from the node.
    pub(crate) last_contact: Option<ClockTime>,
    /// Whether the last list contained the instance.
    pub(crate) listed: bool,
    /// Whether the instance was missing from a list after an earlier list contained it.
    pub(crate) unlisted: bool,
    /// Time until which the node is not removed because of the list, since it may still respond.
    pub(crate) protected_until: ClockTime,
    /// Time at which the entry became a tombstone.
    pub(crate) gone_at: Option<ClockTime>,
    /// Sequence number of the last change.
    pub(crate) sequence: u64,
}

impl MemberRecord {
    pub(crate) fn new(entry: MemberEntry) -> Self {
        Self {
            entry,
            source: None,
            last_contact: None,
            listed: false,
            unlisted: false,
            protected_until: ClockTime(0),
            gone_at: None,
            sequence: 0,
        }
    }

    pub(crate) fn has_recent_contact(&self, now: ClockTime) -> bool {
        self.last_contact
            .is_some_and(|at| now - at < CONTACT_LIFETIME)
    }

    /// Returns the time before which the node is not removed because of the list, unless it is
    /// contacted again.
    pub(crate) fn earliest_removal(&self) -> ClockTime {
        let contact = self.last_contact.map(|at| at + CONTACT_LIFETIME);
        self.protected_until.max(contact.unwrap_or_default())
    }

    /// Returns whether the node is to be removed because it is no longer in the list.
    pub(crate) fn is_removal_pending(&self) -> bool {
        self.unlisted && self.gone_at.is_none()
    }

    /// Returns the term that this entry adds to the digest of the table; zero for tombstones.
    ///
    /// Tombstones expire at different times on different nodes. If they were included, the digests
    /// of otherwise equal tables would differ.
    pub(crate) fn digest_term(&self) -> u64 {
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
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    }
}
