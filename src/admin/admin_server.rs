use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, FutureExt, LocalBoxFuture};
use http::{HeaderValue, Method, StatusCode, header};
use monoio::net::TcpListener;

use crate::admin::{AdminHandler, AdminPage};
use crate::caller::{HttpServer, RequestService, ServerLimits, StopSignal};

/// HTTP/1.1 server of the admin pages.
pub struct AdminServer {
    server: HttpServer,
}

impl AdminServer {
    /// Creates a server for the pages that `handler` generates.
    #[must_use]
    pub fn new(handler: Rc<dyn AdminHandler>, limits: ServerLimits) -> Self {
        let service = Rc::new(PageService { handler });
        Self {
            server: HttpServer::new(service, limits),
        }
    }

    /// Serves connections until `stop` is signaled; the returned future owns all connections.
    pub async fn serve(&self, listener: TcpListener, stop: StopSignal) {
        self.server.serve(listener, stop).await;
    }
}

struct PageService {
    handler: Rc<dyn AdminHandler>,
}

impl RequestService for PageService {
    fn serve(&self, request: http::Request<Bytes>) -> LocalBoxFuture<'_, http::Response<Bytes>> {
        let is_read = request.method() == Method::GET || request.method() == Method::HEAD;
        let page = if is_read {
            let uri = request.uri();
            self.handler.get(uri.path(), uri.query().unwrap_or(""))
        } else {
            AdminPage::text(405, "only GET is served\n")
        };
        let mut response = http::Response::new(page.body);
        *response.status_mut() =
            StatusCode::from_u16(page.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Ok(value) = HeaderValue::from_str(&page.content_type) {
            response.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        if !is_read {
            let value = HeaderValue::from_static("GET, HEAD");
            response.headers_mut().insert(header::ALLOW, value);
        }
        future::ready(response).boxed_local()
    }
}
