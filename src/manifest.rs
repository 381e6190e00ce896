//! Parsing, validation and encoding of manifests, which define services, request kinds and routes.

mod encoded_piece;
mod kind_entry;
mod manifest_limits;
mod piece_index;
mod raw_manifest;
mod route_entry;
mod route_table;
mod service_entry;
mod service_piece;
mod version_manifest;

pub use encoded_piece::EncodedPiece;
pub use kind_entry::KindEntry;
pub use manifest_limits::MAX_MANIFEST_BYTES;
pub use piece_index::PieceIndex;
pub use route_entry::RouteEntry;
pub use route_table::{RouteMatch, RouteTable};
pub use service_entry::ServiceEntry;
pub use service_piece::ServicePiece;
pub use version_manifest::Manifest;
