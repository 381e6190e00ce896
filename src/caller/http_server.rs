use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::time;

use crate::caller::http_server_connection::HttpServerConnection;
use crate::caller::{RequestService, ServerLimits, StopSignal};
use crate::clock::ClockTime;

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: ClockTime = ClockTime(50);

/// Maximum number of connections above the limit that receive a 503 response at a time. Further
/// ones are closed at once, so that a flood of connections does not exhaust the file descriptors.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// HTTP/1.1 server that runs all its connections within one future.
///
/// The future ends after the last connection, and dropping it closes all connections.
pub(crate) struct HttpServer {
    service: Rc<dyn RequestService>,
    limits: Rc<ServerLimits>,
}

impl HttpServer {
    pub(crate) fn new(service: Rc<dyn RequestService>, limits: ServerLimits) -> Self {
        Self {
            service,
            limits: Rc::new(limits),
        }
    }

    /// Serves until the stop signal is triggered and the response to every running request is sent.
    pub(crate) async fn serve(&self, listener: TcpListener, stop: StopSignal) {
        let mut connections: FuturesUnordered<LocalBoxFuture<'static, ()>> =
            FuturesUnordered::new();
        while !stop.is_triggered() {
            let event = {
                let accept = pin!(listener.accept());
                let stopped = pin!(stop.wait());
                let connection_ended = async {
                    if connections.is_empty() {
                        future::pending::<()>().await;
                    }
                    connections.next().await;
                };
                let connection_ended = pin!(connection_ended);
                match future::select(stopped, future::select(connection_ended, accept)).await {
                    Either::Left(_) => break,
                    Either::Right((Either::Left(_), _)) => continue,
                    Either::Right((Either::Right((event, _)), _)) => event,
                }
            };
            match event {
                Ok((stream, _)) => {
                    let limit = self.limits.connection_limit;
                    if connections.len() >= limit + MAX_REFUSED_CONNECTIONS {
                        continue;
                    }
                    let admitted = connections.len() < limit;
                    connections.push(self.serve_connection(stream, stop.clone(), admitted));
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    connections.push(time::sleep(ACCEPT_RETRY_DELAY.to_duration()).boxed_local());
                    connections.next().await;
                }
            }
        }
        drop(listener);
        while connections.next().await.is_some() {}
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        stop: StopSignal,
        admitted: bool,
    ) -> LocalBoxFuture<'static, ()> {
        let connection = HttpServerConnection::new(
            stream,
            Rc::clone(&self.service),
            Rc::clone(&self.limits),
            stop,
        );
        if admitted {
            connection.run().boxed_local()
        } else {
            connection.refuse_connection().boxed_local()
        }
    }
}
