//! The boundary to the backend server beside a node, and the HTTP/1.1 client.

mod backend_server;
mod cancel_task;
mod client_connection;
mod client_request;
mod connection_pool;
mod http_backend;
mod http_client;
mod stray_task;

pub use backend_server::{BackendHealth, BackendServer};
pub use http_backend::HttpBackend;
pub use http_client::HttpClient;
pub use stray_task::WorkGuard;
