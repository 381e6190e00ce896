use futures_util::future::LocalBoxFuture;

use crate::call::{CallRequest, CallResponse};

/// Handler for calls that arrive from callers.
///
/// Dropping the returned future cancels the call.
pub trait CallHandler {
    /// Handles one call. Failures are reported as responses with a result code.
    fn handle(&self, request: CallRequest) -> LocalBoxFuture<'_, CallResponse>;
}
