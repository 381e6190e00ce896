use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;

use crate::error::{Error, ResultCode};
use crate::manifest::{EncodedPiece, Manifest};
use crate::peer::VersionDelta;
use crate::version::{ContentDigest, VersionStamp};

/// Refused versions and conflicts kept for the status; older ones are dropped.
const MAX_NOTES: usize = 16;

/// Holds the version in force and never goes back to an older one.
#[derive(Debug, Clone, Default)]
pub struct VersionKeeper {
    held: Option<Arc<Manifest>>,
    highest: VersionStamp,
    refused: VecDeque<RefusedVersion>,
    conflicts: VecDeque<VersionConflict>,
    stale_reads: u64,
}

/// Describes a version that was not installed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedVersion {
    /// Number; zero if it could not be read.
    pub number: u64,
    /// Digest of the published bytes, or that of the stamp if the version came from a peer.
    pub digest: ContentDigest,
    /// Reason.
    pub code: ResultCode,
    /// Reason in words.
    pub message: String,
}

/// Describes two contents that were published under one number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionConflict {
    /// Number of both versions.
    pub number: u64,
    /// Digest that is in force at every node.
    pub kept: ContentDigest,
    /// Digest that lost.
    pub lost: ContentDigest,
}

/// States what became of an offered version.
#[derive(Debug, Clone)]
pub enum OfferOutcome {
    /// The version is in force now.
    Installed(Arc<Manifest>),
    /// The version is already in force, or was refused before.
    Unchanged,
    /// A newer version is in force.
    Older,
    /// The change does not apply to the version held, or was damaged; the index is needed.
    NeedIndex,
    /// The version is not valid.
    Refused(RefusedVersion),
}

#[derive(Deserialize)]
struct NumberOnly {
    number: u64,
}

impl VersionKeeper {
    /// Returns the version in force.
    #[must_use]
    pub fn held(&self) -> Option<&Arc<Manifest>> {
        self.held.as_ref()
    }

    /// Returns the stamp of the version in force, or the default stamp if there is none.
    #[must_use]
    pub fn stamp(&self) -> VersionStamp {
        self.held
            .as_ref()
            .map_or_else(VersionStamp::default, |manifest| manifest.stamp())
    }

    /// Returns the highest stamp that was seen anywhere.
    #[must_use]
    pub fn highest(&self) -> VersionStamp {
        self.highest
    }

    /// Returns recently refused versions, oldest first.
    #[must_use]
    pub fn refused(&self) -> &VecDeque<RefusedVersion> {
        &self.refused
    }

    /// Returns recent conflicts, oldest first.
    #[must_use]
    pub fn conflicts(&self) -> &VecDeque<VersionConflict> {
        &self.conflicts
    }

    /// Returns how often the configuration service answered with an older version.
    #[must_use]
    pub fn stale_reads(&self) -> u64 {
        self.stale_reads
    }

    /// Returns whether the version came from a peer and was refused.
    #[must_use]
    pub fn is_refused(&self, stamp: VersionStamp) -> bool {
        self.refused
            .iter()
            .any(|refused| (refused.number, refused.digest) == (stamp.number, stamp.digest))
    }

    /// Records a stamp that a peer has and returns whether this node lacks that version.
    pub fn see(&mut self, stamp: VersionStamp) -> bool {
        if self.is_refused(stamp) {
            return false;
        }
        self.highest = self.highest.max(stamp);
        stamp > self.stamp()
    }

    /// Takes bytes read from the configuration service.
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
                self.refuse(number, ContentDigest::of(bytes), &error)
            }
        }
    }

    /// Takes a change that a peer sent.
    pub fn offer_delta(&mut self, delta: &VersionDelta) -> OfferOutcome {
        if let Some(outcome) = self.settle(delta.to) {
            return outcome;
        }
        let Some(held) = &self.held else {
            return OfferOutcome::NeedIndex;
        };
        match held.apply_delta(delta) {
            Ok(manifest) => self.install(manifest),
            Err(error) => self.reject(delta.to, &error),
        }
    }

    /// Takes all pieces of a version.
    pub fn offer_pieces(
        &mut self,
        stamp: VersionStamp,
        pieces: Vec<Arc<EncodedPiece>>,
    ) -> OfferOutcome {
        if let Some(outcome) = self.settle(stamp) {
            return outcome;
        }
        match Manifest::from_pieces(stamp, pieces) {
            Ok(manifest) => self.install(manifest),
            Err(error) => self.reject(stamp, &error),
        }
    }

    /// Decides about a version that needs no decoding.
    fn settle(&mut self, stamp: VersionStamp) -> Option<OfferOutcome> {
        if stamp == self.stamp() || self.is_refused(stamp) {
            return Some(OfferOutcome::Unchanged);
        }
        if stamp < self.stamp() {
            self.note_conflict(stamp);
            return Some(OfferOutcome::Older);
        }
        None
    }

    fn install(&mut self, manifest: Manifest) -> OfferOutcome {
        if let Some(outcome) = self.settle(manifest.stamp()) {
            return outcome;
        }
        self.note_conflict(manifest.stamp());
        self.highest = self.highest.max(manifest.stamp());
        let manifest = Arc::new(manifest);
        self.held = Some(Arc::clone(&manifest));
        OfferOutcome::Installed(manifest)
    }

    /// Handles a fault of a version that a peer sent.
    fn reject(&mut self, stamp: VersionStamp, error: &Error) -> OfferOutcome {
        // A digest mismatch is a fault of the transfer and says nothing about the version.
        if error.code() == ResultCode::ManifestDigestMismatch {
            return OfferOutcome::NeedIndex;
        }
        self.refuse(stamp.number, stamp.digest, error)
    }

    fn refuse(&mut self, number: u64, digest: ContentDigest, error: &Error) -> OfferOutcome {
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

    fn note_conflict(&mut self, other: VersionStamp) {
        let own = self.stamp();
        if own.number != other.number || own.digest == other.digest {
            return;
        }
        let conflict = VersionConflict {
            number: own.number,
            kept: own.digest.max(other.digest),
            lost: own.digest.min(other.digest),
        };
        if !self.conflicts.contains(&conflict) {
            push_bounded(&mut self.conflicts, conflict);
        }
    }
}

fn push_bounded<Note>(notes: &mut VecDeque<Note>, note: Note) {
    if notes.len() == MAX_NOTES {
        notes.pop_front();
    }
    notes.push_back(note);
}
