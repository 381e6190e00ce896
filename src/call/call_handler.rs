use futures_util::future::LocalBoxFuture;

use crate::call::{CallRequest, CallResponse};

/// Runs calls that arrive from callers.
///
/// Dropping the future cancels the call.
pub trait CallHandler {
    /// Runs one call; every failure is an answer with a result code.
    fn handle(&self, request: CallRequest) -> LocalBoxFuture<'_, CallResponse>;
}
