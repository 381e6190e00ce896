use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

/// Handler of the requests of an HTTP/1.1 server.
///
/// Dropping the future cancels the request.
pub(crate) trait RequestService {
    /// Handles one request.
    fn serve(&self, request: http::Request<Bytes>) -> LocalBoxFuture<'_, http::Response<Bytes>>;
}
