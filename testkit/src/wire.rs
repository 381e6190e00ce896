//! HTTP/1.1 over blocking sockets, with one thread per connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

mod blocking_client;
mod blocking_server;
mod handler_reply;
mod http_probe;
mod http_request;
mod http_response;
mod message_head;
mod switchable_listener;
mod wire_step;

pub use blocking_client::BlockingClient;
pub use blocking_server::{BlockingServer, HttpHandler};
pub use handler_reply::HandlerReply;
pub use http_probe::HttpProbe;
pub use http_request::HttpRequest;
pub use http_response::HttpResponse;
pub use message_head::MessageHead;
pub(crate) use switchable_listener::reset;
pub use switchable_listener::{StreamHandler, SwitchableListener};
pub use wire_step::WireStep;

/// Locks a mutex and ignores poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
