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
use crate::peer::handshake_rate_limiter::HandshakeRateLimiter;
use crate::peer::peer_server_connection::PeerServerConnection;
use crate::peer::server_stream::PeerStreamHandler;
use crate::peer::stream_handler::{ShutdownSignal, StreamHandler};

/// Maximum number of accepted handshakes per second, which keeps a reconnection storm from
/// occupying the thread.
const MAX_HANDSHAKES_PER_SECOND: usize = 50;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Server that accepts connections from other nodes and passes their streams to a handler.
///
/// One task owns the listener, the connections and their streams.
pub struct PeerServer {
    address: NodeAddress,
    shutdown_sender: oneshot::Sender<ClockTime>,
    task: JoinHandle<usize>,
}

impl PeerServer {
    /// Listens on `address` and accepts call bodies of at most `body_limit` bytes.
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
        let streams = Rc::new(PeerStreamHandler {
            handler,
            body_limit,
            clock,
        });
        Self::bind_streams(address, streams, MAX_HANDSHAKES_PER_SECOND, clock)
    }

    /// Listens on `address` and serves streams with a handler, accepting at most
    /// `max_handshakes_per_second` connections per second.
    ///
    /// # Errors
    ///
    /// `SettingsOutOfRange` if the address cannot be bound.
    pub(crate) fn bind_streams(
        address: NodeAddress,
        handler: Rc<dyn StreamHandler>,
        max_handshakes_per_second: usize,
        clock: SystemClock,
    ) -> Result<Self> {
        let bind_error = |error: std::io::Error| {
            Error::new(
                ResultCode::SettingsOutOfRange,
                format!("cannot bind peer address {address}: {error}"),
            )
        };
        let listener = TcpListener::bind(address.0).map_err(bind_error)?;
        let address = NodeAddress(listener.local_addr().map_err(bind_error)?);
        let (shutdown_sender, shutdown_receiver) = oneshot::channel();
        let task = monoio::spawn(run(
            listener,
            handler,
            max_handshakes_per_second,
            clock,
            shutdown_receiver,
        ));
        Ok(Self {
            address,
            shutdown_sender,
            task,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> NodeAddress {
        self.address
    }

    /// Stops accepting, ends control links and waits up to `timeout` for running calls to finish.
    ///
    /// Returns the number of connections that were closed by force at the timeout.
    pub async fn shutdown(self, timeout: ClockTime) -> usize {
        let _ = self.shutdown_sender.send(timeout);
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
    max_handshakes_per_second: usize,
    clock: SystemClock,
    mut shutdown_receiver: oneshot::Receiver<ClockTime>,
) -> usize {
    let (shutdown_trigger, shutdown) = oneshot::channel::<()>();
    let shutdown: ShutdownSignal = shutdown.map(|_| ()).boxed_local().shared();
    let mut handshakes = HandshakeRateLimiter::new(max_handshakes_per_second);
    let mut connections = FuturesUnordered::new();
    let mut accepting = accept(&listener).boxed_local();
    let timeout = loop {
        let event = future::poll_fn(|context| {
            if let Poll::Ready(timeout) = shutdown_receiver.poll_unpin(context) {
                return Poll::Ready(Err(timeout.unwrap_or_default()));
            }
            while let Poll::Ready(Some(())) = connections.poll_next_unpin(context) {}
            accepting.poll_unpin(context).map(Ok)
        })
        .await;
        let stream = match event {
            Ok(stream) => stream,
            Err(timeout) => break timeout,
        };
        accepting = accept(&listener).boxed_local();
        if !handshakes.admit(clock.now()) {
            log::debug!(
                "connection closed: more than {max_handshakes_per_second} handshakes per second"
            );
            continue;
        }
        let connection = PeerServerConnection {
            handler: Rc::clone(&handler),
            shutdown: shutdown.clone(),
        };
        connections.push(connection.serve(stream));
    };
    drop(accepting);
    drop(listener);
    drop(shutdown_trigger);
    let drained = async { while connections.next().await.is_some() {} };
    let _ = time::timeout(timeout.to_duration(), drained).await;
    connections.len()
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
