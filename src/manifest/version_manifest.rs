use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::{Error, Result, ResultCode};
use crate::id::ServiceName;
use crate::manifest::manifest_limits;
use crate::manifest::raw_manifest::RawManifest;
use crate::manifest::{EncodedPiece, PieceIndex, RouteMatch, RouteTable, ServiceEntry};
use crate::peer::VersionDelta;
use crate::version::VersionStamp;

/// Holds one validated configuration version.
///
/// Versions share the pieces that do not differ between them.
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
    /// Codes 201 to 208 and 212, each for the fault that its meaning names.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.len() > MAX_BYTES {
            return Err(Error::new(
                ResultCode::ManifestTooLarge,
                format!(
                    "manifest has {} bytes, allowed are {MAX_BYTES}",
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
        let digest = index_of(&pieces).digest();
        Self::assemble(VersionStamp { number, digest }, pieces)
    }

    /// Builds a version from all its pieces, which may be shared with another version.
    ///
    /// # Errors
    ///
    /// `ManifestDigestMismatch` if the pieces do not give the digest of the stamp, else as
    /// [`Manifest::decode`].
    pub fn from_pieces<Pieces>(stamp: VersionStamp, pieces: Pieces) -> Result<Self>
    where
        Pieces: IntoIterator<Item = Arc<EncodedPiece>>,
    {
        let pieces: BTreeMap<_, _> = pieces
            .into_iter()
            .map(|piece| (piece.piece.service.name.clone(), piece))
            .collect();
        let digest = index_of(&pieces).digest();
        if digest != stamp.digest {
            return Err(Error::new(
                ResultCode::ManifestDigestMismatch,
                format!("pieces of version {stamp} have digest {digest}"),
            ));
        }
        for piece in pieces.values() {
            manifest_limits::check_piece(&piece.piece)?;
        }
        Self::assemble(stamp, pieces)
    }

    /// Applies a change and returns the newer version; only changed pieces are decoded.
    ///
    /// # Errors
    ///
    /// `ManifestDigestMismatch` if the change does not apply to this version or does not give the
    /// version that it names, else as [`Manifest::decode`].
    pub fn apply_delta(&self, delta: &VersionDelta) -> Result<Self> {
        if delta.from != self.stamp {
            return Err(Error::new(
                ResultCode::ManifestDigestMismatch,
                format!(
                    "change applies to {}, the version held is {}",
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

    /// Returns the change from this version to `newer`.
    #[must_use]
    pub fn delta_to(&self, newer: &Self) -> VersionDelta {
        let changed = newer
            .pieces
            .iter()
            .filter(|(name, piece)| {
                self.pieces
                    .get(*name)
                    .is_none_or(|held| held.digest != piece.digest)
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
        index_of(&self.pieces)
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.pieces.get(name).map(|piece| &piece.piece.service)
    }

    /// Returns the services sorted by name.
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

fn index_of(pieces: &BTreeMap<ServiceName, Arc<EncodedPiece>>) -> PieceIndex {
    let entries = pieces
        .iter()
        .map(|(name, piece)| (name.clone(), piece.digest))
        .collect();
    PieceIndex { entries }
}
