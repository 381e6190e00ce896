use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::time;

use crate::caller::server_connection::ServerConnection;
use crate::caller::{RequestService, ServerLimits, StopSignal};
use crate::clock::ClockTime;

/// Pause after a failed accept, so that a lack of file descriptors does not keep the thread busy.
const ACCEPT_PAUSE: ClockTime = ClockTime(50);

/// Connections over the limit that are answered with 503 at once; further ones are only closed, so
/// that a flood of connections does not use up the file descriptors.
const TURN_AWAY_LIMIT: usize = 64;

/// Accepts connections and runs all of them within one future.
///
/// The future owns every connection: it ends after the last one has, and dropping it ends them.
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

    /// Serves until the signal is given and every running request is answered.
    pub(crate) async fn serve(&self, listener: TcpListener, stop: StopSignal) {
        let mut connections: FuturesUnordered<LocalBoxFuture<'static, ()>> =
            FuturesUnordered::new();
        while !stop.is_triggered() {
            let event = {
                let accept = pin!(listener.accept());
                let stopped = pin!(stop.wait());
                let ended = async {
                    if connections.is_empty() {
                        future::pending::<()>().await;
                    }
                    connections.next().await;
                };
                let ended = pin!(ended);
                match future::select(stopped, future::select(ended, accept)).await {
                    Either::Left(_) => break,
                    Either::Right((Either::Left(_), _)) => continue,
                    Either::Right((Either::Right((event, _)), _)) => event,
                }
            };
            match event {
                Ok((stream, _)) => {
                    let limit = self.limits.connection_limit;
                    if connections.len() >= limit + TURN_AWAY_LIMIT {
                        continue;
                    }
                    let admitted = connections.len() < limit;
                    connections.push(self.connection(stream, stop.clone(), admitted));
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    connections.push(time::sleep(ACCEPT_PAUSE.to_duration()).boxed_local());
                    connections.next().await;
                }
            }
        }
        drop(listener);
        while connections.next().await.is_some() {}
    }

    fn connection(
        &self,
        stream: TcpStream,
        stop: StopSignal,
        admitted: bool,
    ) -> LocalBoxFuture<'static, ()> {
        let connection = ServerConnection::new(
            stream,
            Rc::clone(&self.service),
            Rc::clone(&self.limits),
            stop,
        );
        if admitted {
            connection.run().boxed_local()
        } else {
            connection.turn_away().boxed_local()
        }
    }
}
