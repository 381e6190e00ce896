use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::id::NodeAddress;
use crate::version::VersionStamp;

/// Time that a node waits for the peers it asked.
const ANSWER_TIMEOUT: ClockTime = ClockTime(3_000);
/// Time after which the stamp of a peer that is gone no longer holds up readiness; no other node
/// that can be reached has that version.
const HOLD_TIME: ClockTime = ClockTime(10_000);

/// Decides whether a node is ready after a start or a pause.
///
/// The answer of a peer that is itself ready, or a read of the configuration service, verifies
/// the version held. The answer of a peer that holds a version and is not ready counts only after
/// the timeout, so that two nodes that resume together do not confirm outdated state to each
/// other at once, and a fleet that was paused as a whole does not stay out of service.
#[derive(Debug, Clone)]
pub struct SyncState {
    since: ClockTime,
    ready: bool,
    paused: bool,
    settled: bool,
    asked: BTreeMap<NodeAddress, PeerAnswer>,
    store: Option<VersionStamp>,
}

#[derive(Debug, Clone, Default)]
struct PeerAnswer {
    asked: ClockTime,
    answer: Option<(VersionStamp, bool)>,
}

impl SyncState {
    /// Creates the state of a node that starts.
    #[must_use]
    pub fn new(now: ClockTime) -> Self {
        Self {
            since: now,
            ready: false,
            paused: false,
            settled: false,
            asked: BTreeMap::new(),
            store: None,
        }
    }

    /// Returns whether the node is ready.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Takes the node out of readiness after a gap in the monotonic clock.
    pub fn on_pause(&mut self, now: ClockTime) {
        let started = self.paused || self.ready;
        *self = Self {
            paused: started,
            settled: started,
            ..Self::new(now)
        };
    }

    /// Records that a peer is asked; it must answer or time out before the node is ready.
    pub fn ask(&mut self, peer: NodeAddress, now: ClockTime) {
        if !self.ready && now - self.since < ANSWER_TIMEOUT {
            let fresh = PeerAnswer {
                asked: now,
                answer: None,
            };
            self.asked.entry(peer).or_insert(fresh);
        }
    }

    /// Records that every peer that the node wants to ask was asked.
    pub fn settle(&mut self) {
        self.settled = true;
    }

    /// Records the answer of a peer.
    pub fn on_peer_answer(&mut self, peer: NodeAddress, stamp: VersionStamp, ready: bool) {
        if !self.ready {
            self.asked.entry(peer).or_default().answer = Some((stamp, ready));
        }
    }

    /// Records that a link closed.
    pub fn on_peer_lost(&mut self, peer: &NodeAddress, now: ClockTime) {
        if !self.ready && now - self.since >= HOLD_TIME {
            self.asked.remove(peer);
        }
    }

    /// Records a completed read of the configuration service that began after the last gap.
    pub fn on_store_read(&mut self, stamp: VersionStamp) {
        if !self.ready {
            self.store = Some(self.store.map_or(stamp, |held| held.max(stamp)));
        }
    }

    /// Decides anew and returns whether the node just became ready.
    pub fn evaluate(&mut self, held: VersionStamp, now: ClockTime) -> bool {
        if self.ready || held == VersionStamp::default() {
            return false;
        }
        let elapsed = now - self.since >= ANSWER_TIMEOUT;
        let answers = || self.asked.values().filter_map(|peer| peer.answer);
        let counts = |(stamp, ready): (VersionStamp, bool)| {
            ready || (elapsed && stamp > VersionStamp::default())
        };
        let verified = self.store.is_some() || answers().any(counts);
        let open = |peer: &PeerAnswer| peer.answer.is_none() && now - peer.asked < ANSWER_TIMEOUT;
        let unsettled = !self.settled && !elapsed;
        let waiting = !self.paused && (unsettled || self.asked.values().any(open));
        let highest = answers().map(|(stamp, _)| stamp).chain(self.store).max();
        self.ready = verified && !waiting && highest.is_none_or(|highest| held >= highest);
        self.ready
    }
}
