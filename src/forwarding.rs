//! The parts of forwarding between nodes: held requests, what responses prove, and what nodes learn from
//! them.

mod attempt_record;
mod endpoint_response;
mod held_stream;
mod inbound_responses;

pub(crate) use endpoint_response::{EndpointResponse, EndpointResult, endpoint_not_run};
pub(crate) use inbound_responses::{acquire_error_outcome, log_failure, not_run};
