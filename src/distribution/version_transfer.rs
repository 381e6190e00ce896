use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::distribution::control_offer;
use crate::distribution::fetch_state::FetchState;
use crate::distribution::{Actions, ControlAction, ControlState};
use crate::error::{Error, ResultCode};
use crate::id::{NodeAddress, ServiceName};
use crate::manifest::PieceIndex;
use crate::peer::{ControlMessage, VersionDelta};
use crate::version::{ContentDigest, VersionStamp};

/// Bytes of pieces in one message; a larger change is fetched piece by piece instead.
const BATCH_BYTES: usize = 256 * 1_024;
/// Time that an announced version may take to arrive from another node before it is asked for; a
/// change crosses a region in less.
const ANNOUNCE_WAIT: ClockTime = ClockTime(100);

/// Names a version that a peer announced.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnnouncedVersion {
    stamp: VersionStamp,
    from: NodeAddress,
    at: ClockTime,
}

impl ControlState {
    pub(super) fn on_peer_stamp(
        &mut self,
        from: NodeAddress,
        stamp: VersionStamp,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        if let Some(link) = self.links.get_mut(&from) {
            link.stamp = link.stamp.max(stamp);
        }
        self.observe_stamp(from, stamp, now, actions);
        self.push_version(from, now, actions);
    }

    /// Starts to fetch a version that the node lacks, unless that is under way.
    pub(super) fn observe_stamp(
        &mut self,
        from: NodeAddress,
        stamp: VersionStamp,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let running = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.stamp >= stamp);
        if !self.versions.observe(stamp) || running {
            return;
        }
        if self.links.contains_key(&from) {
            self.request_index(from, stamp, now, actions);
        } else {
            self.neighbors.want(from, now);
            self.next_plan = now;
        }
    }

    pub(super) fn request_index(
        &mut self,
        from: NodeAddress,
        stamp: VersionStamp,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let fetch = self
            .fetch
            .get_or_insert_with(|| FetchState::new(stamp, from, now));
        fetch.stamp = stamp;
        fetch.from = from;
        fetch.since = now;
        fetch.index = None;
        let message = ControlMessage::IndexRequest(stamp);
        actions.push(ControlAction::Send { to: from, message });
    }

    pub(super) fn on_delta(
        &mut self,
        from: NodeAddress,
        delta: &VersionDelta,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        if let Some(link) = self.links.get_mut(&from) {
            link.stamp = link.stamp.max(delta.to);
        }
        let lacks = self.versions.observe(delta.to);
        let done = self.offer(Some(from), now, actions, |versions| {
            versions.offer_delta(delta)
        });
        let elsewhere = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.stamp >= delta.to && fetch.from != from);
        if !done && lacks && !elsewhere {
            self.request_index(from, delta.to, now, actions);
        }
    }

    /// Sends the version in force to a peer that holds an older one.
    pub(super) fn push_version(&mut self, to: NodeAddress, now: ClockTime, actions: &mut Actions) {
        let stamp = self.versions.stamp();
        let expected = self.links.get(&to).map(|link| link.expected(now));
        let greeted = self.links.get(&to).is_some_and(|link| link.zone.is_some());
        if greeted && expected.is_some_and(|expected| expected < stamp) {
            self.send_version(to, now, true, actions);
        }
    }

    /// Tells a peer that holds an older version which one is in force.
    pub(super) fn announce_version(&self, to: NodeAddress, actions: &mut Actions) {
        let stamp = self.versions.stamp();
        let link = self.links.get(&to);
        if link.is_some_and(|link| link.zone.is_some() && link.stamp < stamp) {
            let message = ControlMessage::Announce(stamp);
            actions.push(ControlAction::Send { to, message });
        }
    }

    /// Notes an announced version, which most often arrives from another node a moment later.
    pub(super) fn on_announce(&mut self, from: NodeAddress, stamp: VersionStamp, now: ClockTime) {
        if let Some(link) = self.links.get_mut(&from) {
            link.stamp = link.stamp.max(stamp);
        }
        let newer = self.announced.is_none_or(|held| stamp > held.stamp);
        if newer && self.versions.observe(stamp) {
            let at = now;
            self.announced = Some(AnnouncedVersion { stamp, from, at });
        }
    }

    /// Asks for an announced version that did not arrive.
    pub(super) fn fetch_announced(&mut self, now: ClockTime, actions: &mut Actions) {
        let due = |held: &AnnouncedVersion| now - held.at >= ANNOUNCE_WAIT;
        if let Some(held) = self.announced.take_if(|held| due(held)) {
            self.observe_stamp(held.from, held.stamp, now, actions);
        }
    }

    pub(super) fn on_index_request(
        &mut self,
        to: NodeAddress,
        wanted: VersionStamp,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let stamp = self.versions.stamp();
        let tried = self
            .links
            .get(&to)
            .is_some_and(|link| link.delta_to == stamp);
        if stamp >= wanted {
            self.send_version(to, now, !tried, actions);
        }
    }

    /// Sends the version in force as a change, or as an index if that cannot be done.
    fn send_version(
        &mut self,
        to: NodeAddress,
        now: ClockTime,
        as_change: bool,
        actions: &mut Actions,
    ) {
        let (Some(manifest), Some(link)) = (self.versions.current(), self.links.get_mut(&to))
        else {
            return;
        };
        let stamp = manifest.stamp();
        let small = |delta: &VersionDelta| {
            let bytes: usize = delta.changed.iter().map(|blob| blob.bytes.len()).sum();
            bytes <= BATCH_BYTES
        };
        let delta = as_change
            .then(|| self.delta_log.compose(link.expected(now), manifest))
            .flatten()
            .filter(small);
        link.pushed = stamp;
        link.pushed_at = now;
        let message = match delta {
            Some(delta) => {
                link.delta_to = stamp;
                ControlMessage::Delta(delta)
            }
            None => ControlMessage::Index {
                stamp,
                entries: manifest.index().entries,
            },
        };
        actions.push(ControlAction::Send { to, message });
    }

    pub(super) fn on_index(
        &mut self,
        from: NodeAddress,
        stamp: VersionStamp,
        entries: Vec<(ServiceName, ContentDigest)>,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        if let Some(link) = self.links.get_mut(&from) {
            link.stamp = link.stamp.max(stamp);
        }
        // While pieces of one version arrive, only a newer version replaces it.
        let busy = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.index.is_some() && fetch.stamp >= stamp);
        if !self.versions.observe(stamp) || busy {
            return;
        }
        let index = PieceIndex::new(entries);
        if index.digest() != stamp.digest {
            let message = format!("index of version {stamp} from {from}");
            let error = Error::new(ResultCode::ManifestDigestMismatch, message);
            actions.push(control_offer::warning(error));
            return;
        }
        let mut fetch = FetchState::new(stamp, from, now);
        fetch.index = Some(index.entries);
        if let Some(earlier) = self.fetch.take() {
            fetch.keep(earlier);
        }
        let missing = fetch
            .collect(self.versions.current().map(|held| &**held))
            .err();
        self.fetch = Some(fetch);
        match missing {
            Some(digests) => actions.push(ControlAction::Send {
                to: from,
                message: ControlMessage::PieceRequest(digests),
            }),
            None => self.try_fetched(from, now, actions),
        }
    }

    pub(super) fn try_fetched(&mut self, from: NodeAddress, now: ClockTime, actions: &mut Actions) {
        let held = self.versions.current().map(|held| &**held);
        let Some(fetch) = &self.fetch else {
            return;
        };
        let stamp = fetch.stamp;
        if let Ok(pieces) = fetch.collect(held) {
            self.fetch = None;
            self.offer(Some(from), now, actions, |versions| {
                versions.offer_pieces(stamp, pieces)
            });
        }
    }

    pub(super) fn send_pieces(
        &mut self,
        to: NodeAddress,
        digests: &[ContentDigest],
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let Some(manifest) = self.versions.current() else {
            return;
        };
        let mut wanted: BTreeSet<_> = digests.iter().collect();
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut send = |blobs| {
            let message = ControlMessage::Pieces(blobs);
            actions.push(ControlAction::Send { to, message });
        };
        for piece in manifest.pieces().values() {
            if !wanted.remove(&piece.digest) {
                continue;
            }
            if bytes > 0 && bytes + piece.bytes.len() > BATCH_BYTES {
                send(std::mem::take(&mut batch));
                bytes = 0;
            }
            bytes += piece.bytes.len();
            batch.push(piece.to_blob());
        }
        if !batch.is_empty() {
            send(batch);
        }
        if !wanted.is_empty() {
            // The version that the peer asks for was replaced here.
            self.send_version(to, now, false, actions);
        }
    }
}
