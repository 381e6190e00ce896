//! The manifest: services, kinds of request and routes.

mod kind_entry;
mod route_entry;
mod service_entry;
mod service_piece;

pub use kind_entry::KindEntry;
pub use route_entry::RouteEntry;
pub use service_entry::ServiceEntry;
pub use service_piece::ServicePiece;
