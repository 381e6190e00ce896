use crate::clock::ClockTime;
use crate::id::ZoneName;
use crate::version::VersionStamp;

/// Time after which a version that was sent, but not reported by the peer, is considered lost.
const PUSH_TIMEOUT: ClockTime = ClockTime(2_000);

/// State of the link to one peer.
#[derive(Debug, Clone)]
pub(crate) struct LinkState {
    /// Time of the last message received.
    pub(crate) last_received: ClockTime,
    /// Zone of the peer, once its `Hello` has been received.
    pub(crate) zone: Option<ZoneName>,
    /// Highest stamp that the peer is known to have.
    pub(crate) stamp: VersionStamp,
    /// Last stamp sent to the peer, as a delta or an index.
    pub(crate) pushed_stamp: VersionStamp,
    pub(crate) pushed_at: ClockTime,
    /// Target stamp of the last delta sent. If the peer then requests the index of this version,
    /// the delta did not apply.
    pub(crate) last_delta: VersionStamp,
    /// Sequence number in the member table up to which changes were sent.
    pub(crate) members_sequence: u64,
    /// Whether the peer sends reports of applied versions on this link.
    pub(crate) sends_reports: bool,
    /// Time since which the digests of the two member tables differ.
    pub(crate) members_differ_since: Option<ClockTime>,
}

impl LinkState {
    pub(crate) fn new(members_sequence: u64, now: ClockTime) -> Self {
        Self {
            last_received: now,
            zone: None,
            stamp: VersionStamp::default(),
            pushed_stamp: VersionStamp::default(),
            pushed_at: now,
            last_delta: VersionStamp::default(),
            members_sequence,
            sends_reports: false,
            members_differ_since: None,
        }
    }

    /// Returns the stamp that the peer has, or will have once a recently sent version arrives.
    pub(crate) fn expected_stamp(&self, now: ClockTime) -> VersionStamp {
        if now - self.pushed_at < PUSH_TIMEOUT {
            self.stamp.max(self.pushed_stamp)
        } else {
            self.stamp
        }
    }
}
