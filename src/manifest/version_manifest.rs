use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::{Error, Result, ResultCode};
use crate::id::ServiceName;
use crate::manifest::manifest_limits;
use crate::manifest::raw_manifest::RawManifest;
use crate::manifest::{EncodedPiece, PieceIndex, RouteMatch, RouteTable, ServiceEntry};
use crate::peer::VersionDelta;
use crate::version::VersionStamp;

/// A validated configuration version.
///
/// Versions share pieces that are identical.
///
/// ```
/// use endivelanding::manifest::Manifest;
///
/// let bytes = br#"{"number": 7,
///     "services": [{"name": "ratecard", "protocol": "http1", "slots": 6, "connections": 130,
///         "kinds": [{"name": "price", "idempotent": true, "weight": 5, "deadline_ms": 300,
///                    "long": false, "objective": 0.999}]}],
///     "routes": [{"method": "GET", "prefix": "/price", "service": "ratecard", "kind": "price"}]}"#;
/// let manifest = Manifest::decode(bytes)?;
/// let found = manifest.lookup("GET", "/price/42").expect("route");
/// assert_eq!(found.service.name.as_str(), "ratecard");
/// assert!(manifest.lookup("GET", "/prices").is_none());
/// # Ok::<(), endivelanding::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Manifest {
    stamp: VersionStamp,
    pieces: BTreeMap<ServiceName, Arc<EncodedPiece>>,
    routes: RouteTable,
}

impl Manifest {
    /// Decodes and validates a published manifest.
    ///
    /// # Errors
    ///
    /// Returns the result code in the range 201 to 208, or 212, that describes the defect.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::new(
                ResultCode::ManifestTooLarge,
                format!(
                    "manifest has {} bytes, at most {MAX_BYTES} are allowed",
                    bytes.len()
                ),
            ));
        }
        let raw = RawManifest::parse(bytes)?;
        let number = raw.number()?;
        let mut pieces = BTreeMap::new();
        for piece in raw.into_pieces()? {
            manifest_limits::check_piece(&piece)?;
            let name = piece.service.name.clone();
            pieces.insert(name, Arc::new(EncodedPiece::encode(piece)?));
        }
        let digest = build_index(&pieces).digest();
        Self::assemble(VersionStamp { number, digest }, pieces)
    }

    /// Builds a version from its complete set of pieces, which may be shared with other versions.
    ///
    /// # Errors
    ///
    /// Returns `ManifestDigestMismatch` if the pieces do not match the digest in the stamp, and the
    /// errors of [`Manifest::decode`] if the pieces are invalid.
    pub fn from_pieces<Pieces>(stamp: VersionStamp, pieces: Pieces) -> Result<Self>
    where
        Pieces: IntoIterator<Item = Arc<EncodedPiece>>,
    {
        let pieces: BTreeMap<_, _> = pieces
            .into_iter()
            .map(|piece| (piece.piece.service.name.clone(), piece))
            .collect();
        let digest = build_index(&pieces).digest();
        if digest != stamp.digest {
            return Err(Error::new(
                ResultCode::ManifestDigestMismatch,
                format!("pieces have digest {digest}, which does not match version {stamp}"),
            ));
        }
        for piece in pieces.values() {
            manifest_limits::check_piece(&piece.piece)?;
        }
        Self::assemble(stamp, pieces)
    }

    /// Applies a delta and returns the newer version. Only changed pieces are decoded.
    ///
    /// # Errors
    ///
    /// Returns `ManifestDigestMismatch` if the delta does not apply to this version or does not
    /// produce its target version, and the errors of [`Manifest::decode`] if the result is invalid.
    pub fn apply_delta(&self, delta: &VersionDelta) -> Result<Self> {
        if delta.from != self.stamp {
            return Err(Error::new(
                ResultCode::ManifestDigestMismatch,
                format!(
                    "delta applies to version {}, not to version {}",
                    delta.from, self.stamp
                ),
            ));
        }
        let mut pieces = self.pieces.clone();
        for name in &delta.removed {
            pieces.remove(name);
        }
        for blob in &delta.changed {
            let piece = EncodedPiece::decode(blob)?;
            pieces.insert(blob.service.clone(), Arc::new(piece));
        }
        Self::from_pieces(delta.to, pieces.into_values())
    }

    /// Returns the delta from this version to `newer`.
    #[must_use]
    pub fn delta_to(&self, newer: &Self) -> VersionDelta {
        let changed = newer
            .pieces
            .iter()
            .filter(|(name, piece)| {
                self.pieces
                    .get(*name)
                    .is_none_or(|previous| previous.digest != piece.digest)
            })
            .map(|(_, piece)| piece.to_blob())
            .collect();
        let removed = self
            .pieces
            .keys()
            .filter(|name| !newer.pieces.contains_key(*name))
            .cloned()
            .collect();
        VersionDelta {
            from: self.stamp,
            to: newer.stamp,
            changed,
            removed,
        }
    }

    /// Returns the stamp of this version.
    #[must_use]
    pub fn stamp(&self) -> VersionStamp {
        self.stamp
    }

    /// Returns the pieces by service.
    #[must_use]
    pub fn pieces(&self) -> &BTreeMap<ServiceName, Arc<EncodedPiece>> {
        &self.pieces
    }

    /// Returns the index of the pieces.
    #[must_use]
    pub fn index(&self) -> PieceIndex {
        build_index(&self.pieces)
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.pieces.get(name).map(|piece| &piece.piece.service)
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.pieces.values().map(|piece| &piece.piece.service)
    }

    /// Resolves a request by method and path to its route, service and kind.
    #[must_use]
    pub fn lookup(&self, method: &str, path: &str) -> Option<RouteMatch<'_>> {
        self.routes.lookup(method, path)
    }

    fn assemble(
        stamp: VersionStamp,
        pieces: BTreeMap<ServiceName, Arc<EncodedPiece>>,
    ) -> Result<Self> {
        manifest_limits::check_range("number", &stamp.number, &(1..=u64::MAX))?;
        let count = pieces.values().map(|piece| piece.piece.routes.len()).sum();
        manifest_limits::check_counts(pieces.len(), count)?;
        let routes = RouteTable::build(pieces.values())?;
        Ok(Self {
            stamp,
            pieces,
            routes,
        })
    }
}

const MAX_BYTES: usize = manifest_limits::MAX_MANIFEST_BYTES;

fn build_index(pieces: &BTreeMap<ServiceName, Arc<EncodedPiece>>) -> PieceIndex {
    let entries = pieces
        .iter()
        .map(|(name, piece)| (name.clone(), piece.digest))
        .collect();
    PieceIndex { entries }
}
