//! The boundary to the backend server beside a node.

mod backend_server;

pub use backend_server::{BackendHealth, BackendServer};
