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

/// Maximum bytes of pieces in one message. Larger deltas are sent as an index, and their pieces are
/// fetched in batches.
const MAX_BATCH_BYTES: usize = 256 * 1_024;
/// Time to wait for an announced version to arrive from another node before it is requested. A
/// delta crosses a region in less.
const ANNOUNCE_GRACE: ClockTime = ClockTime(100);

/// A version that a peer announced.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnnouncedVersion {
    stamp: VersionStamp,
    from: NodeAddress,
    announced_at: ClockTime,
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

    /// Starts to fetch a newer version, unless a fetch of that or a later version is in progress.
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
            self.neighbors.request_link(from, now);
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
        fetch.last_progress = now;
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
        let is_newer = self.versions.observe(delta.to);
        let resolved = self.offer(Some(from), now, actions, |versions| {
            versions.offer_delta(delta)
        });
        let fetching_from_other = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.stamp >= delta.to && fetch.from != from);
        if !resolved && is_newer && !fetching_from_other {
            self.request_index(from, delta.to, now, actions);
        }
    }

    /// Sends the version in force to a peer that has an older one.
    pub(super) fn push_version(&mut self, to: NodeAddress, now: ClockTime, actions: &mut Actions) {
        let stamp = self.versions.stamp();
        let expected = self.links.get(&to).map(|link| link.expected_stamp(now));
        let hello_received = self.links.get(&to).is_some_and(|link| link.zone.is_some());
        if hello_received && expected.is_some_and(|expected| expected < stamp) {
            self.send_version(to, now, true, actions);
        }
    }

    /// Announces the version in force to a peer that has an older one.
    pub(super) fn announce_version(&self, to: NodeAddress, actions: &mut Actions) {
        let stamp = self.versions.stamp();
        let link = self.links.get(&to);
        if link.is_some_and(|link| link.zone.is_some() && link.stamp < stamp) {
            let message = ControlMessage::Announce(stamp);
            actions.push(ControlAction::Send { to, message });
        }
    }

    /// Records an announced version. It is not requested immediately, because it usually arrives
    /// from another node shortly afterwards.
    pub(super) fn on_announce(&mut self, from: NodeAddress, stamp: VersionStamp, now: ClockTime) {
        if let Some(link) = self.links.get_mut(&from) {
            link.stamp = link.stamp.max(stamp);
        }
        let newer = self.announced.is_none_or(|known| stamp > known.stamp);
        if newer && self.versions.observe(stamp) {
            self.announced = Some(AnnouncedVersion {
                stamp,
                from,
                announced_at: now,
            });
        }
    }

    /// Requests an announced version that did not arrive in time.
    pub(super) fn fetch_announced(&mut self, now: ClockTime, actions: &mut Actions) {
        let due = |version: &AnnouncedVersion| now - version.announced_at >= ANNOUNCE_GRACE;
        if let Some(version) = self.announced.take_if(|version| due(version)) {
            self.observe_stamp(version.from, version.stamp, now, actions);
        }
    }

    pub(super) fn on_index_request(
        &mut self,
        to: NodeAddress,
        requested: VersionStamp,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let stamp = self.versions.stamp();
        let delta_sent = self
            .links
            .get(&to)
            .is_some_and(|link| link.last_delta == stamp);
        if stamp >= requested {
            self.send_version(to, now, !delta_sent, actions);
        }
    }

    /// Sends the version in force as a delta, or as an index if no delta is allowed, available or
    /// small enough.
    fn send_version(
        &mut self,
        to: NodeAddress,
        now: ClockTime,
        allow_delta: bool,
        actions: &mut Actions,
    ) {
        let (Some(manifest), Some(link)) = (self.versions.current(), self.links.get_mut(&to))
        else {
            return;
        };
        let stamp = manifest.stamp();
        let fits_batch = |delta: &VersionDelta| {
            let bytes: usize = delta.changed.iter().map(|blob| blob.bytes.len()).sum();
            bytes <= MAX_BATCH_BYTES
        };
        let delta = allow_delta
            .then(|| self.delta_log.compose(link.expected_stamp(now), manifest))
            .flatten()
            .filter(fits_batch);
        link.pushed_stamp = stamp;
        link.pushed_at = now;
        let message = match delta {
            Some(delta) => {
                link.last_delta = stamp;
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
        // A fetch that is receiving pieces is replaced only by one of a newer version.
        let in_progress = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.index.is_some() && fetch.stamp >= stamp);
        if !self.versions.observe(stamp) || in_progress {
            return;
        }
        let index = PieceIndex::new(entries);
        if index.digest() != stamp.digest {
            let message =
                format!("piece index from {from} does not match the digest of version {stamp}");
            let error = Error::new(ResultCode::ManifestDigestMismatch, message);
            actions.push(control_offer::warning(error));
            return;
        }
        let mut fetch = FetchState::new(stamp, from, now);
        fetch.index = Some(index.entries);
        if let Some(earlier) = self.fetch.take() {
            fetch.reuse_pieces(earlier);
        }
        let missing = fetch
            .collect_pieces(self.versions.current().map(|manifest| &**manifest))
            .err();
        self.fetch = Some(fetch);
        match missing {
            Some(digests) => actions.push(ControlAction::Send {
                to: from,
                message: ControlMessage::PieceRequest(digests),
            }),
            None => self.try_complete_fetch(from, now, actions),
        }
    }

    pub(super) fn try_complete_fetch(
        &mut self,
        from: NodeAddress,
        now: ClockTime,
        actions: &mut Actions,
    ) {
        let current = self.versions.current().map(|manifest| &**manifest);
        let Some(fetch) = &self.fetch else {
            return;
        };
        let stamp = fetch.stamp;
        if let Ok(pieces) = fetch.collect_pieces(current) {
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
        let mut requested: BTreeSet<_> = digests.iter().collect();
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut send = |blobs| {
            let message = ControlMessage::Pieces(blobs);
            actions.push(ControlAction::Send { to, message });
        };
        for piece in manifest.pieces().values() {
            if !requested.remove(&piece.digest) {
                continue;
            }
            if bytes > 0 && bytes + piece.bytes.len() > MAX_BATCH_BYTES {
                send(std::mem::take(&mut batch));
                bytes = 0;
            }
            bytes += piece.bytes.len();
            batch.push(piece.to_blob());
        }
        if !batch.is_empty() {
            send(batch);
        }
        if !requested.is_empty() {
            // The requested pieces belong to a version that has since been replaced here.
            self.send_version(to, now, false, actions);
        }
    }
}
