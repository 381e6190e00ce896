use std::rc::Rc;

use monoio::net::TcpListener;

use crate::call::CallHandler;
use crate::caller::call_service::CallService;
use crate::caller::{HttpServer, ServerLimits, StopSignal};

/// Serves HTTP/1.1 to callers and hands their requests to a call handler.
pub struct CallerServer {
    server: HttpServer,
}

impl CallerServer {
    /// Creates a server that hands calls to `handler`.
    #[must_use]
    pub fn new(handler: Rc<dyn CallHandler>, limits: ServerLimits) -> Self {
        let service = Rc::new(CallService::new(handler));
        Self {
            server: HttpServer::new(service, limits),
        }
    }

    /// Serves until the signal is given and every running call is answered.
    ///
    /// On the signal the listener and idle connections close. The future owns every connection;
    /// dropping it cancels the running calls.
    pub async fn serve(&self, listener: TcpListener, stop: StopSignal) {
        self.server.serve(listener, stop).await;
    }
}
