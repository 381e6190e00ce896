use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, Shared};
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;

use crate::peer::ByteCounter;

/// Future that completes when the server begins to shut down.
pub(crate) type ShutdownSignal = Shared<LocalBoxFuture<'static, ()>>;

/// Handler of the streams that peers open.
pub(crate) trait StreamHandler {
    /// Serves one stream; the server drops the future when the connection ends.
    fn serve(
        &self,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        counter: Rc<ByteCounter>,
        shutdown: ShutdownSignal,
    ) -> LocalBoxFuture<'static, ()>;
}
