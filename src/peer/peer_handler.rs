use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::peer::{CallHeader, CallResponseHeader, ControlLink, FenceRequest, FenceResponse};

/// Handler of calls, fence requests and control links from other nodes.
///
/// Dropping the future of a call cancels the call. The peer server does so when the stream is
/// reset.
pub trait PeerHandler {
    /// Runs a call on the backend server of this node.
    fn call(
        &self,
        header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, (CallResponseHeader, Bytes)>;

    /// Handles a fence request.
    fn fence(&self, request: FenceRequest) -> LocalBoxFuture<'_, FenceResponse>;

    /// Serves a control link that another node opened, until it ends.
    fn control(&self, link: ControlLink) -> LocalBoxFuture<'_, ()>;
}
