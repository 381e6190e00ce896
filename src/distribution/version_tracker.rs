use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;

use crate::error::{Error, ResultCode};
use crate::manifest::{EncodedPiece, Manifest};
use crate::peer::VersionDelta;
use crate::version::{ContentDigest, VersionStamp};

/// Refused versions, and conflicts, retained for the status report; the oldest are dropped.
const MAX_HISTORY: usize = 16;

/// The version in force, which is replaced only by versions with a higher stamp.
#[derive(Debug, Clone, Default)]
pub struct VersionTracker {
    current: Option<Arc<Manifest>>,
    highest: VersionStamp,
    refused: VecDeque<RefusedVersion>,
    conflicts: VecDeque<VersionConflict>,
    stale_reads: u64,
}

/// A version that failed validation and was not installed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedVersion {
    /// Version number, or zero if it could not be parsed.
    pub number: u64,
    /// Digest of the published bytes, or the digest in the stamp if the version came from a peer.
    pub digest: ContentDigest,
    /// Result code of the validation error.
    pub code: ResultCode,
    /// Message of the validation error.
    pub message: String,
}

/// Two different contents published under the same version number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionConflict {
    /// Version number that both contents share.
    pub number: u64,
    /// Digest of the content that takes precedence: the higher of the two.
    pub winner: ContentDigest,
    /// Digest of the superseded content.
    pub loser: ContentDigest,
}

/// Result of offering a version to a [`VersionTracker`].
#[derive(Debug, Clone)]
pub enum OfferOutcome {
    /// The version was installed and is now in force.
    Installed(Arc<Manifest>),
    /// The version is already in force, or was refused earlier.
    Unchanged,
    /// A newer version is in force.
    Older,
    /// The delta does not apply to the version in force or is corrupted; the piece index must be
    /// requested instead.
    NeedIndex,
    /// The version failed validation.
    Refused(RefusedVersion),
}

/// The version number of a manifest that is otherwise invalid.
#[derive(Deserialize)]
struct NumberOnly {
    number: u64,
}

impl VersionTracker {
    /// Returns the version in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Manifest>> {
        self.current.as_ref()
    }

    /// Returns the stamp of the version in force, or the default stamp if there is none.
    #[must_use]
    pub fn stamp(&self) -> VersionStamp {
        self.current
            .as_ref()
            .map_or_else(VersionStamp::default, |manifest| manifest.stamp())
    }

    /// Returns the highest stamp observed locally or at any peer.
    #[must_use]
    pub fn highest(&self) -> VersionStamp {
        self.highest
    }

    /// Returns the most recently refused versions, oldest first.
    #[must_use]
    pub fn refused(&self) -> &VecDeque<RefusedVersion> {
        &self.refused
    }

    /// Returns the most recent conflicts, oldest first.
    #[must_use]
    pub fn conflicts(&self) -> &VecDeque<VersionConflict> {
        &self.conflicts
    }

    /// Returns the number of reads in which the configuration service returned a version older than
    /// the one in force.
    #[must_use]
    pub fn stale_reads(&self) -> u64 {
        self.stale_reads
    }

    /// Returns whether a version with this stamp was refused.
    ///
    /// Only versions received from peers match: for published bytes, the digest recorded is that of
    /// the bytes and not that of a stamp.
    #[must_use]
    pub fn is_refused(&self, stamp: VersionStamp) -> bool {
        self.refused
            .iter()
            .any(|refused| (refused.number, refused.digest) == (stamp.number, stamp.digest))
    }

    /// Records the stamp of a peer and returns whether it is newer than the version in force.
    ///
    /// Stamps of refused versions are ignored.
    pub fn observe(&mut self, stamp: VersionStamp) -> bool {
        if self.is_refused(stamp) {
            return false;
        }
        self.highest = self.highest.max(stamp);
        stamp > self.stamp()
    }

    /// Offers manifest bytes read from the configuration service.
    pub fn offer_published(&mut self, bytes: &[u8]) -> OfferOutcome {
        match Manifest::decode(bytes) {
            Ok(manifest) => {
                if manifest.stamp().number < self.stamp().number {
                    self.stale_reads += 1;
                }
                self.install(manifest)
            }
            Err(error) => {
                let number = serde_json::from_slice::<NumberOnly>(bytes);
                let number = number.map_or(0, |only| only.number);
                self.record_refusal(number, ContentDigest::of(bytes), &error)
            }
        }
    }

    /// Offers a delta received from a peer.
    pub fn offer_delta(&mut self, delta: &VersionDelta) -> OfferOutcome {
        if let Some(outcome) = self.check_stamp(delta.to) {
            return outcome;
        }
        let Some(current) = &self.current else {
            return OfferOutcome::NeedIndex;
        };
        match current.apply_delta(delta) {
            Ok(manifest) => self.install(manifest),
            Err(error) => self.handle_peer_error(delta.to, &error),
        }
    }

    /// Offers a version assembled from its complete set of pieces.
    pub fn offer_pieces(
        &mut self,
        stamp: VersionStamp,
        pieces: Vec<Arc<EncodedPiece>>,
    ) -> OfferOutcome {
        if let Some(outcome) = self.check_stamp(stamp) {
            return outcome;
        }
        match Manifest::from_pieces(stamp, pieces) {
            Ok(manifest) => self.install(manifest),
            Err(error) => self.handle_peer_error(stamp, &error),
        }
    }

    /// Returns the outcome for a stamp that is not newer than the version in force or was refused,
    /// or `None` if the version has to be decoded.
    fn check_stamp(&mut self, stamp: VersionStamp) -> Option<OfferOutcome> {
        if stamp == self.stamp() || self.is_refused(stamp) {
            return Some(OfferOutcome::Unchanged);
        }
        if stamp < self.stamp() {
            self.record_conflict(stamp);
            return Some(OfferOutcome::Older);
        }
        None
    }

    fn install(&mut self, manifest: Manifest) -> OfferOutcome {
        if let Some(outcome) = self.check_stamp(manifest.stamp()) {
            return outcome;
        }
        self.record_conflict(manifest.stamp());
        self.highest = self.highest.max(manifest.stamp());
        let manifest = Arc::new(manifest);
        self.current = Some(Arc::clone(&manifest));
        OfferOutcome::Installed(manifest)
    }

    /// Handles a decoding or validation error of a version received from a peer.
    fn handle_peer_error(&mut self, stamp: VersionStamp, error: &Error) -> OfferOutcome {
        // A digest mismatch means that the transfer failed, not that the version is invalid.
        if error.code() == ResultCode::ManifestDigestMismatch {
            return OfferOutcome::NeedIndex;
        }
        self.record_refusal(stamp.number, stamp.digest, error)
    }

    fn record_refusal(
        &mut self,
        number: u64,
        digest: ContentDigest,
        error: &Error,
    ) -> OfferOutcome {
        if self.refused.iter().any(|refused| refused.digest == digest) {
            return OfferOutcome::Unchanged;
        }
        let refused = RefusedVersion {
            number,
            digest,
            code: error.code(),
            message: error.message().to_owned(),
        };
        push_bounded(&mut self.refused, refused.clone());
        OfferOutcome::Refused(refused)
    }

    fn record_conflict(&mut self, other: VersionStamp) {
        let own = self.stamp();
        if own.number != other.number || own.digest == other.digest {
            return;
        }
        let conflict = VersionConflict {
            number: own.number,
            winner: own.digest.max(other.digest),
            loser: own.digest.min(other.digest),
        };
        if !self.conflicts.contains(&conflict) {
            push_bounded(&mut self.conflicts, conflict);
        }
    }
}

fn push_bounded<Entry>(history: &mut VecDeque<Entry>, entry: Entry) {
    if history.len() == MAX_HISTORY {
        history.pop_front();
    }
    history.push_back(entry);
}
