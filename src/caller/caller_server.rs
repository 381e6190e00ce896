use std::rc::Rc;

use monoio::net::TcpListener;

use crate::call::CallHandler;
use crate::caller::call_service::CallService;
use crate::caller::{HttpServer, ServerLimits, StopSignal};

/// HTTP/1.1 server that passes the requests of callers to a call handler.
pub struct CallerServer {
    server: HttpServer,
}

impl CallerServer {
    /// Creates a server that passes calls to `handler`.
    #[must_use]
    pub fn new(handler: Rc<dyn CallHandler>, limits: ServerLimits) -> Self {
        let service = Rc::new(CallService::new(handler));
        Self {
            server: HttpServer::new(service, limits),
        }
    }

    /// Serves until the stop signal is triggered and the response to every running call is sent.
    ///
    /// The signal closes the listener and idle connections. The future owns every connection, so
    /// that dropping it cancels the running calls.
    pub async fn serve(&self, listener: TcpListener, stop: StopSignal) {
        self.server.serve(listener, stop).await;
    }
}
