//! HTTP/1.1 on blocking sockets, one thread for each connection.

mod http_probe;
mod message_head;
mod wire_answer;
mod wire_client;
mod wire_reply;
mod wire_request;
mod wire_server;

pub use http_probe::HttpProbe;
pub use message_head::MessageHead;
pub use wire_answer::WireAnswer;
pub use wire_client::WireClient;
pub use wire_reply::WireReply;
pub use wire_request::WireRequest;
pub use wire_server::{WireHandler, WireServer};

pub(crate) use wire_server::lock;
