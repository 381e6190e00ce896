use std::cell::{Cell, RefCell};
use std::future::{self, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;
use h2::client::{self, SendRequest};
use monoio::net::TcpStream;
use monoio::time;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::counted_stream::CountedStream;
use crate::peer::keepalive_probe::KeepaliveProbe;
use crate::peer::{ByteCounter, KeepaliveConfig, PinnedStream};

/// Time for a connection that is being closed to write its queued frames.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of opening a connection; every waiting call holds a clone of the receiver.
pub(crate) type OpenResult = Shared<oneshot::Receiver<Result<SendRequest<Bytes>>>>;

/// Client connection to a peer, driven by its own task.
pub(crate) struct PeerConnection {
    pub(crate) open_result: OpenResult,
    pub(crate) counter: Rc<ByteCounter>,
    pub(crate) outstanding: Cell<usize>,
    pub(crate) last_used: Cell<ClockTime>,
    /// Whether a PING has not been acknowledged for at least one keepalive tick.
    pub(crate) ping_overdue: Cell<bool>,
    retired: Cell<bool>,
    close_handle: RefCell<Option<oneshot::Sender<()>>>,
}

impl PeerConnection {
    /// Creates a connection and the future that opens and drives it until it ends.
    pub(crate) fn new(
        to: NodeAddress,
        dial_address: SocketAddr,
        now: ClockTime,
        keepalive: KeepaliveConfig,
    ) -> (Rc<Self>, impl Future<Output = ()> + 'static) {
        let (open_sender, open_result) = oneshot::channel();
        let (close_handle, closed) = oneshot::channel();
        let connection = Rc::new(Self {
            open_result: open_result.shared(),
            counter: Rc::new(ByteCounter::default()),
            outstanding: Cell::new(0),
            last_used: Cell::new(now),
            ping_overdue: Cell::new(false),
            retired: Cell::new(false),
            close_handle: RefCell::new(Some(close_handle)),
        });
        let driver = drive(
            to,
            dial_address,
            Rc::clone(&connection),
            keepalive,
            open_sender,
            closed,
        );
        (connection, driver)
    }

    /// Tells the driver to close the connection.
    pub(crate) fn close(&self) {
        self.close_handle.borrow_mut().take();
    }

    /// Excludes the connection from further calls and closes it after its last call.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
        if self.outstanding.get() == 0 {
            self.close();
        }
    }

    /// Returns whether no further call may use the connection.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Takes the handle that closes the connection when it is dropped.
    pub(crate) fn take_close_handle(&self) -> Option<oneshot::Sender<()>> {
        self.close_handle.borrow_mut().take()
    }
}

async fn drive(
    to: NodeAddress,
    dial_address: SocketAddr,
    connection: Rc<PeerConnection>,
    keepalive: KeepaliveConfig,
    open_sender: oneshot::Sender<Result<SendRequest<Bytes>>>,
    mut closed: oneshot::Receiver<()>,
) {
    let opened = time::timeout(
        keepalive.connect_timeout,
        open(to, dial_address, &connection, keepalive),
    )
    .await;
    let (sender, mut h2_connection, mut probe) = match opened {
        Ok(Ok(parts)) => parts,
        Ok(Err(error)) => {
            let _ = open_sender.send(Err(error));
            return;
        }
        Err(_) => {
            let _ = open_sender.send(Err(unreachable(to, "no answer in time")));
            return;
        }
    };
    let _ = open_sender.send(Ok(sender));
    let connection_ended = future::poll_fn(|context| {
        if h2_connection.poll_unpin(context).is_ready() {
            return Poll::Ready(true);
        }
        let active = connection.outstanding.get() > 0;
        let timed_out = probe.poll_timeout(context, active).is_ready();
        connection.ping_overdue.set(probe.is_ping_overdue());
        if timed_out {
            log::info!("event=peer_silent node={to}");
            return Poll::Ready(true);
        }
        closed.poll_unpin(context).map(|_| false)
    })
    .await;
    if !connection_ended {
        // RST_STREAM frames of dropped streams may still be queued.
        let _ = time::timeout(FLUSH_TIMEOUT, h2_connection).await;
    }
}

type H2Connection = client::Connection<PinnedStream<CountedStream>, Bytes>;

/// Connects and waits for the acknowledgement of a first PING.
///
/// No request is written before that. If the peer closes an excess connection or never responds,
/// the call is therefore known not to have run.
async fn open(
    to: NodeAddress,
    dial_address: SocketAddr,
    connection: &PeerConnection,
    keepalive: KeepaliveConfig,
) -> Result<(SendRequest<Bytes>, H2Connection, KeepaliveProbe)> {
    let stream = TcpStream::connect_addr(dial_address)
        .await
        .map_err(|error| unreachable(to, error))?;
    let stream = CountedStream::new(stream, Rc::clone(&connection.counter));
    let (sender, mut h2_connection) = client::Builder::new()
        .initial_window_size(256 << 10)
        .initial_connection_window_size(1 << 20)
        .max_header_list_size(8 << 10)
        .enable_push(false)
        .handshake(PinnedStream::new(stream))
        .await
        .map_err(|error| unreachable(to, error))?;
    let ping = h2_connection
        .ping_pong()
        .ok_or_else(|| unreachable(to, "no PING handle"))?;
    let mut probe = KeepaliveProbe::new(ping, keepalive);
    probe.send_ping();
    future::poll_fn(|context| {
        if let Poll::Ready(result) = Pin::new(&mut h2_connection).poll(context) {
            let error = match result {
                Ok(()) => unreachable(to, "closed during the handshake"),
                Err(error) => unreachable(to, error),
            };
            return Poll::Ready(Err(error));
        }
        let timed_out = probe.poll_timeout(context, false).is_ready();
        match (timed_out, probe.is_ping_pending()) {
            (true, _) => Poll::Ready(Err(unreachable(to, "the first PING failed"))),
            (false, true) => Poll::Pending,
            (false, false) => Poll::Ready(Ok(())),
        }
    })
    .await?;
    Ok((sender, h2_connection, probe))
}

pub(crate) fn unreachable<Cause>(to: NodeAddress, cause: Cause) -> Error
where
    Cause: std::fmt::Display,
{
    Error::new(
        ResultCode::PeerUnreachable,
        format!("peer {to} cannot be reached: {cause}"),
    )
}
