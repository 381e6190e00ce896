use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::clock::ClockTime;
use crate::error::Result;
use crate::id::NodeAddress;
use crate::peer::{CallHeader, CallResponseHeader, ControlLink, FenceRequest, FenceResponse};

/// Client for calls, fence requests and control links to other nodes.
pub trait PeerCaller {
    /// Sends one call and receives the complete response; dropping the future resets the stream.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the peer cannot have processed the call, `ConnectionLost` or
    /// `DeadlinePassed` if it may have run.
    fn call(
        &self,
        to: NodeAddress,
        header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<(CallResponseHeader, Bytes)>>;

    /// Sends one fence request.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` or `DeadlinePassed`.
    fn fence(
        &self,
        to: NodeAddress,
        request: FenceRequest,
        timeout: ClockTime,
    ) -> LocalBoxFuture<'_, Result<FenceResponse>>;

    /// Opens a control link on its own connection.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` or `HandshakeRefused`.
    fn open_control(&self, to: NodeAddress) -> LocalBoxFuture<'_, Result<ControlLink>>;
}
