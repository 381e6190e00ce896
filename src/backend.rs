//! Interface to the backend server of a node, and the HTTP/1.1 client.

mod abandoned_request_task;
mod backend_server;
mod cancel_task;
mod client_connection;
mod client_request;
mod connection_pool;
mod http_backend;
mod http_client;

pub use abandoned_request_task::WorkGuard;
pub use backend_server::{BackendHealth, BackendServer};
pub use http_backend::HttpBackend;
pub use http_client::HttpClient;
