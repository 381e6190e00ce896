//! HTTP/1.1 server for callers, and the HTTP/1.1 message handling shared by servers and clients.

mod body_decoder;
mod call_service;
mod caller_server;
mod chunk_decoder;
mod http_server;
mod http_server_connection;
mod message_head;
mod request_service;
mod server_limits;
mod stop_signal;
mod wire_error;
mod wire_stream;

pub use caller_server::CallerServer;
pub use server_limits::ServerLimits;
pub use stop_signal::StopSignal;

pub(crate) use body_decoder::BodyDecoder;
pub(crate) use http_server::HttpServer;
pub(crate) use message_head::{
    BodyLength, body_length, has_connection_token, is_hop_by_hop_header, parse_request,
    parse_response,
};
pub(crate) use request_service::RequestService;
pub(crate) use wire_error::WireError;
pub(crate) use wire_stream::WireStream;
