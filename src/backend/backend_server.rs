use futures_util::future::LocalBoxFuture;

use crate::backend::WorkGuard;
use crate::call::{CallRequest, CallResponse};
use crate::clock::ClockTime;
use crate::error::Result;

/// Backend server of a node, on which requests are run.
pub trait BackendServer {
    /// Runs one request and receives the complete response within `remaining`.
    ///
    /// Dropping the future cancels the request at the backend server. `work_guard` is dropped when
    /// the request is observed to have ended there, and at the latest 1 s after the deadline.
    ///
    /// # Errors
    ///
    /// `BackendUnreachable` if no byte was written; `ConnectionLost` or `DeadlinePassed` if the
    /// request may have run; `AnswerTooLarge` or `AnswerMalformed` if it ran but the response is
    /// unusable.
    fn run(
        &self,
        request: CallRequest,
        remaining: ClockTime,
        work_guard: WorkGuard,
    ) -> LocalBoxFuture<'_, Result<CallResponse>>;

    /// Requests the health that the backend server reports, which may be outdated or wrong.
    ///
    /// # Errors
    ///
    /// `BackendUnreachable` if no valid response was received.
    fn health(&self) -> LocalBoxFuture<'_, Result<BackendHealth>>;
}

/// Health that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendHealth {
    /// It accepts requests.
    Ready,
    /// It is starting and not ready yet.
    Starting,
    /// It finishes running requests and accepts no new ones.
    Draining,
}
