use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use h2::client::SendRequest;
use monoio::task::JoinHandle;
use monoio::time;
use serde::de::DeserializeOwned;

use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::connection_lease::ConnectionLease;
use crate::peer::connection_table::ConnectionTable;
use crate::peer::peer_connection::{self, PeerConnection};
use crate::peer::peer_request;
use crate::peer::stream_io;
use crate::peer::{
    CallCodec, CallHeader, CallResponseHeader, ControlLink, FenceRequest, FenceResponse,
    KeepaliveConfig, PeerCaller,
};

/// Maximum number of open call connections of a pool.
const MAX_CONNECTIONS: usize = 512;
/// Keepalive of the pool: while calls are running, a PING every 1 s that must be acknowledged
/// within 3 s.
const KEEPALIVE: KeepaliveConfig = KeepaliveConfig {
    connect_timeout: Duration::from_millis(500),
    tick: Duration::from_millis(500),
    active_interval_ticks: 2,
    idle_interval_ticks: None,
    timeout_ticks: 6,
};
/// Time for a peer to accept a control stream.
const CONTROL_OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Pool of multiplexed connections to peers, one for each peer, opened on demand.
pub struct PeerPool {
    clock: SystemClock,
    response_limit: usize,
    keepalive: KeepaliveConfig,
    table: Rc<ConnectionTable>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    closed: Cell<bool>,
    dial_addresses: HashMap<NodeAddress, SocketAddr>,
}

impl PeerPool {
    /// Creates an empty pool that rejects response bodies above `response_limit` bytes.
    #[must_use]
    pub fn new(clock: SystemClock, response_limit: usize) -> Self {
        Self {
            clock,
            response_limit,
            keepalive: KEEPALIVE,
            table: Rc::new(ConnectionTable::new(MAX_CONNECTIONS)),
            tasks: RefCell::default(),
            closed: Cell::new(false),
            dial_addresses: HashMap::new(),
        }
    }

    /// Limits the pool to `count` call connections; the default is 512.
    #[must_use]
    pub fn with_connection_limit(mut self, count: usize) -> Self {
        self.table = Rc::new(ConnectionTable::new(count));
        self
    }

    /// Replaces the timeouts for opening and probing connections.
    #[must_use]
    pub fn with_keepalive(mut self, keepalive: KeepaliveConfig) -> Self {
        self.keepalive = keepalive;
        self
    }

    /// Sets the socket addresses of peers that are not reached at their node address.
    #[must_use]
    pub fn with_dial_addresses(mut self, addresses: HashMap<NodeAddress, SocketAddr>) -> Self {
        self.dial_addresses = addresses;
        self
    }

    /// Returns the number of call connections that are open or opening.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.table.len()
    }

    /// Returns whether a peer has not acknowledged a PING for at least one keepalive tick, so that
    /// it may be unreachable or paused.
    #[must_use]
    pub fn is_ping_overdue(&self, to: NodeAddress) -> bool {
        let connection = self.table.get(to);
        connection.is_some_and(|connection| connection.ping_overdue.get())
    }

    /// Closes all call connections, rejects later calls and joins the connection tasks.
    ///
    /// Running calls fail with `ConnectionLost`. Drop control links first, because this waits until
    /// their connections have ended.
    pub async fn close(&self) {
        self.closed.set(true);
        self.table.close();
        let tasks = self.tasks.take();
        for task in tasks {
            task.await;
        }
    }

    fn dial_address(&self, to: NodeAddress) -> SocketAddr {
        self.dial_addresses.get(&to).copied().unwrap_or(to.0)
    }

    fn spawn_driver<Driver>(&self, driver: Driver)
    where
        Driver: Future<Output = ()> + 'static,
    {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(monoio::spawn(driver));
    }

    fn lease(&self, to: NodeAddress) -> Result<ConnectionLease> {
        if self.closed.get() {
            return Err(peer_connection::unreachable(to, "the pool is closed"));
        }
        let connection = match self.table.get(to) {
            Some(connection) => connection,
            None => self.open(to)?,
        };
        Ok(ConnectionLease::new(connection, self.clock))
    }

    fn open(&self, to: NodeAddress) -> Result<Rc<PeerConnection>> {
        if !self.table.evict_if_full() {
            return Err(peer_connection::unreachable(
                to,
                "all connections are in use",
            ));
        }
        let (connection, driver) =
            PeerConnection::new(to, self.dial_address(to), self.clock.now(), self.keepalive);
        self.table.insert(to, Rc::clone(&connection));
        let table = Rc::clone(&self.table);
        let opened = Rc::clone(&connection);
        self.spawn_driver(async move {
            driver.await;
            table.remove(to, &opened);
        });
        Ok(connection)
    }

    /// Waits for a connection on which a stream can be opened, without writing a request.
    async fn acquire(&self, to: NodeAddress) -> Result<(ConnectionLease, SendRequest<Bytes>)> {
        let mut last_error = None;
        // A pooled connection may have ended since its last use; the next attempt opens a new one.
        for _ in 0..2 {
            let lease = self.lease(to)?;
            let is_new = lease.connection().open_result.peek().is_none();
            let opened = lease.connection().open_result.clone().await;
            let error = match opened {
                Ok(Ok(sender)) => match sender.ready().await {
                    Ok(sender) => return Ok((lease, sender)),
                    Err(error) => peer_connection::unreachable(to, error),
                },
                Ok(Err(error)) => error,
                Err(_) => peer_connection::unreachable(to, "the connection was closed"),
            };
            self.table.remove(to, lease.connection());
            lease.connection().retire();
            last_error = Some(error);
            if is_new {
                break;
            }
        }
        Err(last_error.unwrap_or_else(|| peer_connection::unreachable(to, "no connection")))
    }

    /// Sends one message on its own stream and receives the complete response, whose head may have
    /// at most `LIMIT` bytes.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the peer cannot have processed the message, `AnswerTooLarge` above the
    /// pool's limit, `ConnectionLost` for any other failure to receive a complete response.
    pub(crate) async fn request<Head, const LIMIT: usize>(
        &self,
        to: NodeAddress,
        path: &'static str,
        head: Bytes,
        body: Bytes,
    ) -> Result<(Head, Bytes)>
    where
        Head: DeserializeOwned,
    {
        self.request_while::<Head, _, LIMIT>(to, path, head, body, |_| true)
            .await
    }

    /// Sends a request as [`PeerPool::request`] does, as long as `admits` accepts the number of bytes held
    /// for the body of the response.
    ///
    /// # Errors
    ///
    /// As for [`PeerPool::request`]; also `AnswerTooLarge` if the bytes are not accepted.
    pub(crate) async fn request_while<Head, Admits, const LIMIT: usize>(
        &self,
        to: NodeAddress,
        path: &'static str,
        head: Bytes,
        body: Bytes,
        admits: Admits,
    ) -> Result<(Head, Bytes)>
    where
        Head: DeserializeOwned,
        Admits: FnMut(usize) -> bool,
    {
        let (_lease, mut sender) = self.acquire(to).await?;
        let (response, mut stream) = sender
            .send_request(peer_request::post_request(path), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        // A peer may respond before it has read the whole body.
        if let Err(error) = stream_io::send_message(&mut stream, head, body).await {
            log::debug!("the request to {to} was not sent completely: {error}");
        }
        peer_request::read_response::<Head, _, LIMIT>(response, self.response_limit, admits).await
    }

    /// Sends the head of a request, and its body when the peer asks for it; otherwise as
    /// [`PeerPool::request_while`].
    ///
    /// # Errors
    ///
    /// As for [`PeerPool::request_while`].
    pub(crate) async fn request_held<Head, Admits, const LIMIT: usize>(
        &self,
        to: NodeAddress,
        path: &'static str,
        head: Bytes,
        body: Bytes,
        admits: Admits,
    ) -> Result<(Head, Bytes)>
    where
        Head: DeserializeOwned,
        Admits: FnMut(usize) -> bool,
    {
        let (_lease, mut sender) = self.acquire(to).await?;
        let (response, mut stream) = sender
            .send_request(peer_request::post_request(path), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        if let Err(error) = stream_io::send_all(&mut stream, head, false).await {
            log::debug!("the head of a held request to {to} was not sent: {error}");
        }
        peer_request::exchange_held::<Head, Admits, LIMIT>(
            response,
            &mut stream,
            body,
            self.response_limit,
            admits,
        )
        .await
    }

    async fn send_call(
        &self,
        to: NodeAddress,
        mut header: CallHeader,
        body: Bytes,
    ) -> Result<(CallResponseHeader, Bytes)> {
        let start = self.clock.now();
        let allowed = header.remaining;
        header.body_length = body.len() as u64;
        let acquired = time::timeout(allowed.to_duration(), self.acquire(to)).await;
        let elapsed = self.clock.now() - start;
        // A process that was paused may resume after the deadline and find the connection ready
        // before the timer fires.
        if elapsed >= allowed {
            return Err(peer_request::deadline_too_short());
        }
        let (_lease, mut sender) = acquired.map_err(|_| peer_request::deadline_too_short())??;
        header.remaining = allowed - elapsed;
        let head = CallCodec::encode(&header)
            .map_err(|error| Error::new(ResultCode::RequestTooLarge, error.message()))?;
        let (response, mut stream) = sender
            .send_request(peer_request::post_request("/call/1"), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        let exchange = async {
            let sent = stream_io::send_message(&mut stream, head, body).await;
            // A peer may respond before it has read the whole body.
            if let Err(error) = sent {
                log::debug!("the request to {to} was not sent completely: {error}");
            }
            peer_request::read_call_response(response, self.response_limit).await
        };
        // The clock is checked on every poll, so that a process resumed after the deadline does not
        // continue to write the body.
        let mut exchange = pin!(exchange);
        let before_deadline = future::poll_fn(|context| {
            if self.clock.now() - start >= allowed {
                return Poll::Ready(Err(deadline_passed(to, allowed)));
            }
            exchange.as_mut().poll(context)
        });
        let remaining = header.remaining.to_duration();
        let result = time::timeout(remaining, before_deadline).await;
        result.unwrap_or_else(|_| Err(deadline_passed(to, allowed)))
    }

    async fn send_fence(&self, to: NodeAddress, request: FenceRequest) -> Result<FenceResponse> {
        let head = CallCodec::encode(&request)?;
        let (_lease, mut sender) = self.acquire(to).await?;
        let (response, mut stream) = sender
            .send_request(peer_request::post_request("/fence/1"), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        let unreachable = |error: h2::Error| peer_connection::unreachable(to, error);
        stream_io::send_all(&mut stream, head, true)
            .await
            .map_err(unreachable)?;
        let response = response.await.map_err(unreachable)?;
        let mut stream = response.into_body();
        stream_io::read_head(&mut stream, &mut BytesMut::new())
            .await
            .map_err(|error| peer_connection::unreachable(to, error))
    }

    async fn open_control_link(&self, to: NodeAddress) -> Result<ControlLink> {
        if self.closed.get() {
            return Err(peer_connection::unreachable(to, "the pool is closed"));
        }
        let (connection, driver) =
            PeerConnection::new(to, self.dial_address(to), self.clock.now(), self.keepalive);
        self.spawn_driver(driver);
        // The driver ends when this handle is dropped, with the link or on an error.
        let close_handle = connection.take_close_handle().map(Rc::new);
        let opened = connection.open_result.clone().await;
        let sender =
            opened.map_err(|_| peer_connection::unreachable(to, "the connection was closed"))??;
        let refused = |error: h2::Error| {
            Error::new(
                ResultCode::HandshakeRefused,
                format!("peer {to} refused the control link: {error}"),
            )
        };
        let mut sender = sender.ready().await.map_err(refused)?;
        let (response, stream) = sender
            .send_request(peer_request::post_request("/control/1"), false)
            .map_err(refused)?;
        let response = time::timeout(CONTROL_OPEN_TIMEOUT, response)
            .await
            .map_err(|_| peer_connection::unreachable(to, "no response within 3 s"))?
            .map_err(refused)?;
        let receiver = response.into_body();
        Ok(ControlLink::new(
            stream,
            receiver,
            &connection.counter,
            close_handle,
        ))
    }
}

impl PeerCaller for PeerPool {
    fn call(
        &self,
        to: NodeAddress,
        header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<(CallResponseHeader, Bytes)>> {
        self.send_call(to, header, body).boxed_local()
    }

    fn fence(
        &self,
        to: NodeAddress,
        request: FenceRequest,
        timeout: ClockTime,
    ) -> LocalBoxFuture<'_, Result<FenceResponse>> {
        async move {
            let result = time::timeout(timeout.to_duration(), self.send_fence(to, request)).await;
            result.unwrap_or_else(|_| Err(deadline_passed(to, timeout)))
        }
        .boxed_local()
    }

    fn open_control(&self, to: NodeAddress) -> LocalBoxFuture<'_, Result<ControlLink>> {
        self.open_control_link(to).boxed_local()
    }
}

impl Drop for PeerPool {
    fn drop(&mut self) {
        // Otherwise the connection tasks of a pool that was not closed would run forever.
        self.table.close();
    }
}

impl fmt::Debug for PeerPool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerPool")
            .field("connections", &self.connection_count())
            .finish_non_exhaustive()
    }
}

fn deadline_passed(to: NodeAddress, allowed: ClockTime) -> Error {
    Error::new(
        ResultCode::DeadlinePassed,
        format!("no answer from {to} within {allowed}"),
    )
}
