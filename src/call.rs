//! Calls and their answers, as seen by every part that handles them.

mod call_handler;
mod call_request;
mod call_response;

pub use call_handler::CallHandler;
pub use call_request::CallRequest;
pub use call_response::CallResponse;
