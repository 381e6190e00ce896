use std::fmt;
use std::future;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use futures_channel::oneshot;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use monoio::net::{TcpListener, TcpStream};
use monoio::task::JoinHandle;
use monoio::time;

use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::PeerHandler;
use crate::peer::handshake_limit::HandshakeLimit;
use crate::peer::server_connection::ServerConnection;
use crate::peer::server_stream::CallStreams;
use crate::peer::stream_handler::{ShutdownSignal, StreamHandler};

/// Accepted handshakes a second.
const HANDSHAKE_RATE: usize = 50;
/// Wait after a failed accept, for example without free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other nodes and hands their streams to a handler.
///
/// One task owns the listener, the connections and their streams.
pub struct PeerServer {
    address: NodeAddress,
    closer: oneshot::Sender<ClockTime>,
    task: JoinHandle<usize>,
}

impl PeerServer {
    /// Listens on `address`; call bodies may have at most `body_limit` bytes.
    ///
    /// # Errors
    ///
    /// `SettingsOutOfRange` if the address cannot be bound.
    pub fn bind(
        address: NodeAddress,
        handler: Rc<dyn PeerHandler>,
        body_limit: usize,
        clock: SystemClock,
    ) -> Result<Self> {
        let streams = Rc::new(CallStreams {
            handler,
            body_limit,
            clock,
        });
        Self::bind_streams(address, streams, HANDSHAKE_RATE, clock)
    }

    /// Listens on `address`, serves streams by a handler and accepts `rate` connections a second.
    ///
    /// # Errors
    ///
    /// `SettingsOutOfRange` if the address cannot be bound.
    pub(crate) fn bind_streams(
        address: NodeAddress,
        handler: Rc<dyn StreamHandler>,
        rate: usize,
        clock: SystemClock,
    ) -> Result<Self> {
        let refused = |error: std::io::Error| {
            Error::new(
                ResultCode::SettingsOutOfRange,
                format!("the peer address {address} cannot be bound: {error}"),
            )
        };
        let listener = TcpListener::bind(address.0).map_err(refused)?;
        let address = NodeAddress(listener.local_addr().map_err(refused)?);
        let (closer, closed) = oneshot::channel();
        let task = monoio::spawn(run(listener, handler, rate, clock, closed));
        Ok(Self {
            address,
            closer,
            task,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> NodeAddress {
        self.address
    }

    /// Stops accepting, ends control links, lets running calls finish within `limit` and joins.
    ///
    /// Returns the number of connections that were cut at the limit.
    pub async fn shutdown(self, limit: ClockTime) -> usize {
        let _ = self.closer.send(limit);
        self.task.await
    }
}

impl fmt::Debug for PeerServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

async fn run(
    listener: TcpListener,
    handler: Rc<dyn StreamHandler>,
    rate: usize,
    clock: SystemClock,
    mut closed: oneshot::Receiver<ClockTime>,
) -> usize {
    let (trigger, shutdown) = oneshot::channel::<()>();
    let shutdown: ShutdownSignal = shutdown.map(|_| ()).boxed_local().shared();
    let mut handshakes = HandshakeLimit::new(rate);
    let mut connections = FuturesUnordered::new();
    let mut accepting = accept(&listener).boxed_local();
    let limit = loop {
        let event = future::poll_fn(|context| {
            if let Poll::Ready(limit) = closed.poll_unpin(context) {
                return Poll::Ready(Err(limit.unwrap_or_default()));
            }
            while let Poll::Ready(Some(())) = connections.poll_next_unpin(context) {}
            accepting.poll_unpin(context).map(Ok)
        })
        .await;
        let stream = match event {
            Ok(stream) => stream,
            Err(limit) => break limit,
        };
        accepting = accept(&listener).boxed_local();
        if !handshakes.admit(clock.now()) {
            log::debug!("a connection was closed: over {rate} handshakes a second");
            continue;
        }
        let connection = ServerConnection {
            handler: Rc::clone(&handler),
            shutdown: shutdown.clone(),
        };
        connections.push(connection.serve(stream));
    };
    drop(accepting);
    drop(listener);
    drop(trigger);
    let drained = async { while connections.next().await.is_some() {} };
    let _ = time::timeout(limit.to_duration(), drained).await;
    connections.len()
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("a connection cannot be accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
