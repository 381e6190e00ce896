use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::id::{NodeAddress, ServiceName};
use crate::manifest::{EncodedPiece, Manifest};
use crate::peer::PieceBlob;
use crate::version::{ContentDigest, VersionStamp};

/// State of the fetch of a newer version; a node runs at most one at a time.
#[derive(Debug, Clone)]
pub(crate) struct FetchState {
    pub(crate) stamp: VersionStamp,
    pub(crate) from: NodeAddress,
    /// Time of the last request or received piece.
    pub(crate) last_progress: ClockTime,
    /// Piece index of the version, once it has been received.
    pub(crate) index: Option<Vec<(ServiceName, ContentDigest)>>,
    /// Pieces received so far, by digest.
    pieces: BTreeMap<ContentDigest, Arc<EncodedPiece>>,
}

impl FetchState {
    pub(crate) fn new(stamp: VersionStamp, from: NodeAddress, now: ClockTime) -> Self {
        Self {
            stamp,
            from,
            last_progress: now,
            index: None,
            pieces: BTreeMap::new(),
        }
    }

    /// Reuses pieces of an earlier fetch that this index lists as well.
    pub(crate) fn reuse_pieces(&mut self, earlier: Self) {
        let listed: BTreeSet<_> = self.index.iter().flatten().map(|entry| entry.1).collect();
        self.pieces = earlier.pieces;
        self.pieces.retain(|digest, _| listed.contains(digest));
    }

    /// Adds the received pieces that the index lists and returns whether any were added.
    pub(crate) fn add_pieces(&mut self, blobs: &[PieceBlob], now: ClockTime) -> bool {
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
            self.last_progress = now;
        }
        added
    }

    /// Returns the pieces of the version in index order, or the digests of those still missing.
    ///
    /// Pieces that `current` shares with the version count as received.
    pub(crate) fn collect_pieces(
        &self,
        current: Option<&Manifest>,
    ) -> Result<Vec<Arc<EncodedPiece>>, Vec<ContentDigest>> {
        let mut pieces = Vec::new();
        let mut missing = Vec::new();
        for (name, digest) in self.index.iter().flatten() {
            let shared = current
                .and_then(|manifest| manifest.pieces().get(name))
                .filter(|piece| piece.digest == *digest);
            match shared.or_else(|| self.pieces.get(digest)) {
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
