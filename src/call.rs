//! Calls and their answers, as seen by every part that handles them.

mod call_answer;
mod call_handler;
mod call_request;

pub use call_answer::CallAnswer;
pub use call_handler::CallHandler;
pub use call_request::CallRequest;
