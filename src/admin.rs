//! HTTP/1.1 server and client for the admin pages: health, readiness, metrics, status, call
//! explanations and burn report.

mod admin_client;
mod admin_handler;
mod admin_page;
mod admin_server;
mod page_query;

pub use admin_client::AdminClient;
pub use admin_handler::AdminHandler;
pub use admin_page::AdminPage;
pub use admin_server::AdminServer;
pub use page_query::PageQuery;
