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
use crate::peer::call_lease::CallLease;
use crate::peer::connection_table::ConnectionTable;
use crate::peer::peer_connection::{self, PeerConnection};
use crate::peer::peer_request;
use crate::peer::stream_io;
use crate::peer::{
    CallCodec, CallHeader, CallReply, ControlLink, FenceReply, FenceRequest, KeepaliveConfig,
    PeerCaller,
};

/// Most call connections of a node.
const MAX_CONNECTIONS: usize = 512;
/// A PING after 1 s with calls outstanding, answered within 3 s.
const KEEPALIVE: KeepaliveConfig = KeepaliveConfig {
    connect_timeout: Duration::from_millis(500),
    tick: Duration::from_millis(500),
    active_interval_ticks: 2,
    idle_interval_ticks: None,
    timeout_ticks: 6,
};
/// Longest wait for the answer to the opening of a control stream.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends calls to peers over one multiplexed connection each, opened on demand.
pub struct PeerPool {
    clock: SystemClock,
    answer_limit: usize,
    keepalive: KeepaliveConfig,
    table: Rc<ConnectionTable>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    closed: Cell<bool>,
    dial_addresses: HashMap<NodeAddress, SocketAddr>,
}

impl PeerPool {
    /// Creates an empty pool; answers with bodies above `answer_limit` bytes are refused.
    #[must_use]
    pub fn new(clock: SystemClock, answer_limit: usize) -> Self {
        Self {
            clock,
            answer_limit,
            keepalive: KEEPALIVE,
            table: Rc::new(ConnectionTable::new(MAX_CONNECTIONS)),
            tasks: RefCell::default(),
            closed: Cell::new(false),
            dial_addresses: HashMap::new(),
        }
    }

    /// Limits the pool to `count` call connections instead of 512.
    #[must_use]
    pub fn with_connection_limit(mut self, count: usize) -> Self {
        self.table = Rc::new(ConnectionTable::new(count));
        self
    }

    /// Sets how connections are opened and probed.
    #[must_use]
    pub fn with_keepalive(mut self, keepalive: KeepaliveConfig) -> Self {
        self.keepalive = keepalive;
        self
    }

    /// Sets the addresses at which peers are reached that differ from their own.
    #[must_use]
    pub fn with_dial_addresses(mut self, addresses: HashMap<NodeAddress, SocketAddr>) -> Self {
        self.dial_addresses = addresses;
        self
    }

    /// Returns the number of call connections that are open or being opened.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.table.len()
    }

    /// Returns whether a peer owes the answer to a PING, so that it may be cut off or paused.
    #[must_use]
    pub fn is_ping_overdue(&self, to: NodeAddress) -> bool {
        let connection = self.table.get(to);
        connection.is_some_and(|connection| connection.overdue.get())
    }

    /// Closes every connection and joins its task; later calls are refused.
    ///
    /// Running calls end as `ConnectionLost`. Control links must be dropped before, or this waits
    /// for their connections to end.
    pub async fn close(&self) {
        self.closed.set(true);
        self.table.close();
        let tasks = self.tasks.take();
        for task in tasks {
            task.await;
        }
    }

    fn dial(&self, to: NodeAddress) -> SocketAddr {
        self.dial_addresses.get(&to).copied().unwrap_or(to.0)
    }

    fn spawn<Driver>(&self, driver: Driver)
    where
        Driver: Future<Output = ()> + 'static,
    {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(monoio::spawn(driver));
    }

    fn lease(&self, to: NodeAddress) -> Result<CallLease> {
        if self.closed.get() {
            return Err(peer_connection::unreachable(to, "the pool is closed"));
        }
        let connection = match self.table.get(to) {
            Some(connection) => connection,
            None => self.open(to)?,
        };
        Ok(CallLease::new(connection, self.clock))
    }

    fn open(&self, to: NodeAddress) -> Result<Rc<PeerConnection>> {
        if !self.table.make_room() {
            return Err(peer_connection::unreachable(
                to,
                "all connections are in use",
            ));
        }
        let (connection, driver) =
            PeerConnection::new(to, self.dial(to), self.clock.now(), self.keepalive);
        self.table.insert(to, Rc::clone(&connection));
        let table = Rc::clone(&self.table);
        let own = Rc::clone(&connection);
        self.spawn(async move {
            driver.await;
            table.forget(to, &own);
        });
        Ok(connection)
    }

    /// Waits for a connection on which a stream can be opened; nothing is written.
    async fn ready(&self, to: NodeAddress) -> Result<(CallLease, SendRequest<Bytes>)> {
        let mut last = None;
        // A held connection may have ended since its last use; a second attempt opens a new one.
        for _ in 0..2 {
            let lease = self.lease(to)?;
            let fresh = lease.connection().opened.peek().is_none();
            let opened = lease.connection().opened.clone().await;
            let error = match opened {
                Ok(Ok(sender)) => match sender.ready().await {
                    Ok(sender) => return Ok((lease, sender)),
                    Err(error) => peer_connection::unreachable(to, error),
                },
                Ok(Err(error)) => error,
                Err(_) => peer_connection::unreachable(to, "the connection was closed"),
            };
            self.table.forget(to, lease.connection());
            lease.connection().retire();
            last = Some(error);
            if fresh {
                break;
            }
        }
        Err(last.unwrap_or_else(|| peer_connection::unreachable(to, "no connection")))
    }

    /// Sends one message on a stream of its own and receives the whole answer, whose head may have
    /// `LIMIT` bytes.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` if the peer cannot have processed the message, `AnswerTooLarge` above the
    /// pool's limit, `ConnectionLost` for everything else that is not a complete answer.
    pub(crate) async fn request<Reply, const LIMIT: usize>(
        &self,
        to: NodeAddress,
        path: &'static str,
        head: Bytes,
        body: Bytes,
    ) -> Result<(Reply, Bytes)>
    where
        Reply: DeserializeOwned,
    {
        let (_lease, mut sender) = self.ready(to).await?;
        let (response, mut stream) = sender
            .send_request(peer_request::post(path), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        // A peer may answer before it has read the whole body.
        if let Err(error) = stream_io::send_message(&mut stream, head, body).await {
            log::debug!("the request to {to} was not taken in full: {error}");
        }
        peer_request::read_reply::<Reply, LIMIT>(response, self.answer_limit).await
    }

    async fn exchange(
        &self,
        to: NodeAddress,
        mut header: CallHeader,
        body: Bytes,
    ) -> Result<(CallReply, Bytes)> {
        let start = self.clock.now();
        let allowed = header.remaining;
        header.body_length = body.len() as u64;
        let ready = time::timeout(allowed.to_duration(), self.ready(to)).await;
        let elapsed = self.clock.now() - start;
        // The clock is read again because a paused process may resume after the timer was set.
        if elapsed >= allowed {
            return Err(peer_request::too_short());
        }
        let (_lease, mut sender) = ready.map_err(|_| peer_request::too_short())??;
        header.remaining = allowed - elapsed;
        let head = CallCodec::encode(&header)
            .map_err(|error| Error::new(ResultCode::RequestTooLarge, error.message()))?;
        let (response, mut stream) = sender
            .send_request(peer_request::post("/call/1"), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        let answer = async {
            let sent = stream_io::send_message(&mut stream, head, body).await;
            // A peer may answer before it has read the whole body.
            if let Err(error) = sent {
                log::debug!("the request to {to} was not taken in full: {error}");
            }
            peer_request::read_answer(response, self.answer_limit).await
        };
        // A process that resumes after the deadline must not go on writing the body.
        let mut answer = pin!(answer);
        let checked = future::poll_fn(|context| {
            if self.clock.now() - start >= allowed {
                return Poll::Ready(Err(passed(to, allowed)));
            }
            answer.as_mut().poll(context)
        });
        let left = header.remaining.to_duration();
        let result = time::timeout(left, checked).await;
        result.unwrap_or_else(|_| Err(passed(to, allowed)))
    }

    async fn ask(&self, to: NodeAddress, question: FenceRequest) -> Result<FenceReply> {
        let head = CallCodec::encode(&question)?;
        let (_lease, mut sender) = self.ready(to).await?;
        let (response, mut stream) = sender
            .send_request(peer_request::post("/fence/1"), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        let lost = |error: h2::Error| peer_connection::unreachable(to, error);
        stream_io::send_all(&mut stream, head, true)
            .await
            .map_err(lost)?;
        let response = response.await.map_err(lost)?;
        let mut stream = response.into_body();
        stream_io::read_head(&mut stream, &mut BytesMut::new())
            .await
            .map_err(|error| peer_connection::unreachable(to, error))
    }

    async fn open_link(&self, to: NodeAddress) -> Result<ControlLink> {
        if self.closed.get() {
            return Err(peer_connection::unreachable(to, "the pool is closed"));
        }
        let (connection, driver) =
            PeerConnection::new(to, self.dial(to), self.clock.now(), self.keepalive);
        self.spawn(driver);
        // Dropping this handle, with the link or on an error, ends the driver.
        let closer = connection.take_closer().map(Rc::new);
        let opened = connection.opened.clone().await;
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
            .send_request(peer_request::post("/control/1"), false)
            .map_err(refused)?;
        let response = time::timeout(CONTROL_TIMEOUT, response)
            .await
            .map_err(|_| peer_connection::unreachable(to, "no answer within 3 s"))?
            .map_err(refused)?;
        let receiver = response.into_body();
        Ok(ControlLink::new(
            stream,
            receiver,
            &connection.counter,
            closer,
        ))
    }
}

impl PeerCaller for PeerPool {
    fn call(
        &self,
        to: NodeAddress,
        header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<(CallReply, Bytes)>> {
        self.exchange(to, header, body).boxed_local()
    }

    fn fence(
        &self,
        to: NodeAddress,
        request: FenceRequest,
        timeout: ClockTime,
    ) -> LocalBoxFuture<'_, Result<FenceReply>> {
        async move {
            let result = time::timeout(timeout.to_duration(), self.ask(to, request)).await;
            result.unwrap_or_else(|_| Err(passed(to, timeout)))
        }
        .boxed_local()
    }

    fn open_control(&self, to: NodeAddress) -> LocalBoxFuture<'_, Result<ControlLink>> {
        self.open_link(to).boxed_local()
    }
}

impl Drop for PeerPool {
    fn drop(&mut self) {
        // A pool that was not closed must not leave drivers running without an end.
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

fn passed(to: NodeAddress, allowed: ClockTime) -> Error {
    Error::new(
        ResultCode::DeadlinePassed,
        format!("no answer from {to} within {allowed}"),
    )
}
