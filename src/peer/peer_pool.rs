mod pool_calls;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use monoio::task::JoinHandle;
use serde::de::DeserializeOwned;

use crate::clock::SystemClock;
use crate::error::Result;
use crate::id::NodeAddress;
use crate::peer::KeepaliveConfig;
use crate::peer::connection_lease::ConnectionLease;
use crate::peer::connection_table::ConnectionTable;
use crate::peer::peer_connection::{self, PeerConnection};
use crate::peer::peer_request;
use crate::peer::stream_io;

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
