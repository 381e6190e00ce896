use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, Shared};
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;

use crate::peer::ByteCounter;

/// Completes when the server shuts down.
pub(crate) type ShutdownSignal = Shared<LocalBoxFuture<'static, ()>>;

/// Serves the streams that peers open.
pub(crate) trait StreamHandler {
    /// Serves one stream; dropping the future means that the connection has ended.
    fn serve(
        &self,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        counter: Rc<ByteCounter>,
        shutdown: ShutdownSignal,
    ) -> LocalBoxFuture<'static, ()>;
}
