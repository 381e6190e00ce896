//! Calls and responses, in the form used between the components of a node.

mod call_handler;
mod call_request;
mod call_response;

pub use call_handler::CallHandler;
pub use call_request::CallRequest;
pub use call_response::CallResponse;
