use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, ServiceName};
use crate::manifest::{EncodedPiece, Manifest};
use crate::peer::PieceBlob;
use crate::version::{ContentDigest, VersionStamp};

/// Holds the one outstanding fetch of a newer version.
#[derive(Debug, Clone)]
pub(crate) struct FetchState {
    pub(crate) stamp: VersionStamp,
    pub(crate) from: NodeAddress,
    /// Last progress.
    pub(crate) since: ClockTime,
    /// Index of the version, once it came.
    pub(crate) index: Option<Vec<(ServiceName, ContentDigest)>>,
    /// Pieces received so far.
    pieces: BTreeMap<ContentDigest, Arc<EncodedPiece>>,
}

impl FetchState {
    pub(crate) fn new(stamp: VersionStamp, from: NodeAddress, now: ClockTime) -> Self {
        Self {
            stamp,
            from,
            since: now,
            index: None,
            pieces: BTreeMap::new(),
        }
    }

    /// Takes over the pieces of an earlier fetch that the index lists.
    pub(crate) fn keep(&mut self, earlier: Self) {
        let listed: BTreeSet<_> = self.index.iter().flatten().map(|entry| entry.1).collect();
        self.pieces = earlier.pieces;
        self.pieces.retain(|digest, _| listed.contains(digest));
    }

    /// Adds received pieces that the index lists and returns whether there were any.
    pub(crate) fn add(&mut self, blobs: &[PieceBlob], now: ClockTime) -> bool {
        let Some(index) = &self.index else {
            return false;
        };
        let listed: BTreeSet<_> = index.iter().map(|(name, digest)| (name, digest)).collect();
        let mut added = false;
        for blob in blobs {
            let digest = ContentDigest::of(&blob.bytes);
            if !listed.contains(&(&blob.service, &digest)) {
                continue;
            }
            if let Ok(piece) = EncodedPiece::decode(blob) {
                self.pieces.insert(digest, Arc::new(piece));
                added = true;
            }
        }
        if added {
            self.since = now;
        }
        added
    }

    /// Returns the pieces of the version in order, or the digests of those still missing.
    pub(crate) fn collect(
        &self,
        held: Option<&Manifest>,
    ) -> Result<Vec<Arc<EncodedPiece>>, Vec<ContentDigest>> {
        let mut pieces = Vec::new();
        let mut missing = Vec::new();
        for (name, digest) in self.index.iter().flatten() {
            let own = held
                .and_then(|manifest| manifest.pieces().get(name))
                .filter(|piece| piece.digest == *digest);
            match own.or_else(|| self.pieces.get(digest)) {
                Some(piece) => pieces.push(Arc::clone(piece)),
                None => missing.push(*digest),
            }
        }
        if missing.is_empty() {
            Ok(pieces)
        } else {
            Err(missing)
        }
    }
}
