use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::id::NodeAddress;
use crate::version::VersionStamp;

/// Time limit for the replies of the peers that were queried.
const PEER_REPLY_TIMEOUT: ClockTime = ClockTime(3_000);
/// Time after which the stamp of a disconnected peer no longer delays readiness. If no reachable
/// node has that version by then, it cannot be obtained.
const LOST_PEER_RETENTION: ClockTime = ClockTime(10_000);

/// Conditions under which a node becomes ready after a start or a process pause.
///
/// The version in force is verified by the reply of a peer that is ready itself, or by a read of
/// the configuration service. The reply of a peer that has a version but is not ready counts only
/// after the timeout. Two nodes that resume together therefore do not confirm outdated state to
/// each other immediately, and a fleet that was paused as a whole still becomes ready again.
#[derive(Debug, Clone)]
pub struct ReadinessState {
    since: ClockTime,
    ready: bool,
    paused: bool,
    all_queried: bool,
    queries: BTreeMap<NodeAddress, PeerQuery>,
    platform_stamp: Option<VersionStamp>,
}

/// A query to one peer and its reply.
#[derive(Debug, Clone, Default)]
struct PeerQuery {
    sent_at: ClockTime,
    /// Stamp and readiness that the peer reported.
    reply: Option<(VersionStamp, bool)>,
}

impl ReadinessState {
    /// Creates the state of a node that starts at `now`.
    #[must_use]
    pub fn new(now: ClockTime) -> Self {
        Self {
            since: now,
            ready: false,
            paused: false,
            all_queried: false,
            queries: BTreeMap::new(),
            platform_stamp: None,
        }
    }

    /// Returns whether the node is ready.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Resets readiness after a gap in the monotonic clock.
    pub fn on_pause(&mut self, now: ClockTime) {
        let was_started = self.paused || self.ready;
        *self = Self {
            paused: was_started,
            all_queried: was_started,
            ..Self::new(now)
        };
    }

    /// Records a query to a peer, which must reply or time out before the node becomes ready.
    pub fn on_peer_queried(&mut self, peer: NodeAddress, now: ClockTime) {
        if !self.ready && now - self.since < PEER_REPLY_TIMEOUT {
            let query = PeerQuery {
                sent_at: now,
                reply: None,
            };
            self.queries.entry(peer).or_insert(query);
        }
    }

    /// Records that no further peers will be queried.
    pub fn on_all_queried(&mut self) {
        self.all_queried = true;
    }

    /// Records the stamp and readiness that a peer reported.
    pub fn on_peer_reply(&mut self, peer: NodeAddress, stamp: VersionStamp, ready: bool) {
        if !self.ready {
            self.queries.entry(peer).or_default().reply = Some((stamp, ready));
        }
    }

    /// Records that the link to a peer closed.
    pub fn on_peer_lost(&mut self, peer: &NodeAddress, now: ClockTime) {
        if !self.ready && now - self.since >= LOST_PEER_RETENTION {
            self.queries.remove(peer);
        }
    }

    /// Records a completed read of the configuration service that started after the last pause.
    pub fn on_platform_read(&mut self, stamp: VersionStamp) {
        if !self.ready {
            self.platform_stamp = Some(
                self.platform_stamp
                    .map_or(stamp, |highest| highest.max(stamp)),
            );
        }
    }

    /// Re-evaluates readiness and returns whether the node just became ready.
    pub fn evaluate(&mut self, current: VersionStamp, now: ClockTime) -> bool {
        if self.ready || current == VersionStamp::default() {
            return false;
        }
        let elapsed = now - self.since >= PEER_REPLY_TIMEOUT;
        let replies = || self.queries.values().filter_map(|peer| peer.reply);
        let verifies = |(stamp, ready): (VersionStamp, bool)| {
            ready || (elapsed && stamp > VersionStamp::default())
        };
        let verified = self.platform_stamp.is_some() || replies().any(verifies);
        let pending =
            |peer: &PeerQuery| peer.reply.is_none() && now - peer.sent_at < PEER_REPLY_TIMEOUT;
        let queries_pending = !self.all_queried && !elapsed;
        let waiting = !self.paused && (queries_pending || self.queries.values().any(pending));
        let highest = replies()
            .map(|(stamp, _)| stamp)
            .chain(self.platform_stamp)
            .max();
        self.ready = verified && !waiting && highest.is_none_or(|highest| current >= highest);
        self.ready
    }
}
