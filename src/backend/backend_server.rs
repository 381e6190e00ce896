use futures_util::future::LocalBoxFuture;

use crate::backend::WorkGuard;
use crate::call::{CallAnswer, CallRequest};
use crate::clock::ClockTime;
use crate::error::Result;

/// Runs requests on the backend server beside the node.
pub trait BackendServer {
    /// Runs one request and reads its whole answer within `remaining`.
    ///
    /// Dropping the future cancels the request at the backend server. `hold` is dropped when the
    /// work has ended there, as far as that can be seen, at the latest 1 s after the deadline.
    ///
    /// # Errors
    ///
    /// `BackendUnreachable` if no byte was written; `ConnectionLost` or `DeadlinePassed` if the
    /// request may have run; `AnswerTooLarge` or `AnswerMalformed` if it ran without a usable answer.
    fn run(
        &self,
        request: CallRequest,
        remaining: ClockTime,
        hold: WorkGuard,
    ) -> LocalBoxFuture<'_, Result<CallAnswer>>;

    /// Asks for the state that the backend server reports, which may lag or mislead.
    ///
    /// # Errors
    ///
    /// `BackendUnreachable` if it does not answer.
    fn health(&self) -> LocalBoxFuture<'_, Result<BackendHealth>>;
}

/// States what a backend server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendHealth {
    /// It takes work.
    Ready,
    /// It has started and is not yet ready.
    Starting,
    /// It finishes the work it holds and takes no more.
    Draining,
}
