use crate::clock::ClockTime;
use crate::id::ZoneName;
use crate::version::VersionStamp;

/// Time after which a pushed version that the peer does not report counts as lost.
const PUSH_TIMEOUT: ClockTime = ClockTime(2_000);

/// Holds what is known of the peer on one link.
#[derive(Debug, Clone)]
pub(crate) struct LinkState {
    /// Last time anything was heard.
    pub(crate) heard: ClockTime,
    /// Zone of the peer, once its `Hello` came.
    pub(crate) zone: Option<ZoneName>,
    /// Highest stamp that the peer is known to hold.
    pub(crate) stamp: VersionStamp,
    /// Last stamp that was sent to the peer, as a change or an index.
    pub(crate) pushed: VersionStamp,
    pub(crate) pushed_at: ClockTime,
    /// Last stamp to which a change was sent; asking again means that the change did not apply.
    pub(crate) delta_to: VersionStamp,
    /// Position in the member table up to which changes were sent.
    pub(crate) members: u64,
    /// Whether the peer reports on this link which nodes have a version in force.
    pub(crate) reports: bool,
    /// Since when the digests of the member tables differ.
    pub(crate) differs: Option<ClockTime>,
}

impl LinkState {
    pub(crate) fn new(members: u64, now: ClockTime) -> Self {
        Self {
            heard: now,
            zone: None,
            stamp: VersionStamp::default(),
            pushed: VersionStamp::default(),
            pushed_at: now,
            delta_to: VersionStamp::default(),
            members,
            reports: false,
            differs: None,
        }
    }

    /// Returns the stamp that the peer holds or is about to hold.
    pub(crate) fn expected(&self, now: ClockTime) -> VersionStamp {
        if now - self.pushed_at < PUSH_TIMEOUT {
            self.stamp.max(self.pushed)
        } else {
            self.stamp
        }
    }
}
