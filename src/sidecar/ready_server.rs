use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, FutureExt, LocalBoxFuture};
use http::{Method, StatusCode};
use monoio::net::TcpListener;

use crate::caller::{HttpServer, RequestService, ServerLimits, StopSignal};
use crate::sidecar::node_state::NodeState;

/// Answers the platform's question whether new clients should use the node.
pub(crate) struct ReadyPage {
    pub(crate) path: String,
    pub(crate) state: Rc<NodeState>,
}

impl RequestService for ReadyPage {
    fn serve(&self, request: http::Request<Bytes>) -> LocalBoxFuture<'_, http::Response<Bytes>> {
        let mut response = http::Response::new(Bytes::new());
        *response.status_mut() = if request.uri().path() != self.path {
            StatusCode::NOT_FOUND
        } else if request.method() != Method::GET {
            StatusCode::METHOD_NOT_ALLOWED
        } else if self.state.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        future::ready(response).boxed_local()
    }
}

/// Serves the page until the signal is given.
pub(crate) async fn serve(listener: TcpListener, page: ReadyPage, stop: StopSignal) {
    let server = HttpServer::new(Rc::new(page), ServerLimits::default());
    server.serve(listener, stop).await;
}
