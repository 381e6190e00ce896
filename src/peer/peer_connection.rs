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
use monoio_compat::StreamWrapper;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::counted_stream::CountedStream;
use crate::peer::link_probe::LinkProbe;
use crate::peer::{ByteCounter, KeepaliveConfig};

/// Time in which a dropped connection may still write what is queued.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Receives the outcome of opening a connection; every waiting call holds a clone.
pub(crate) type OpenedResult = Shared<oneshot::Receiver<Result<SendRequest<Bytes>>>>;

/// Is one client connection to a peer, driven by a task of its own.
pub(crate) struct PeerConnection {
    pub(crate) opened: OpenedResult,
    pub(crate) counter: Rc<ByteCounter>,
    pub(crate) outstanding: Cell<usize>,
    pub(crate) last_used: Cell<ClockTime>,
    /// Whether the peer owes the answer to a PING.
    pub(crate) overdue: Cell<bool>,
    retired: Cell<bool>,
    closer: RefCell<Option<oneshot::Sender<()>>>,
}

impl PeerConnection {
    /// Creates a connection and the future that opens and drives it until it ends.
    pub(crate) fn new(
        to: NodeAddress,
        dial: SocketAddr,
        now: ClockTime,
        keepalive: KeepaliveConfig,
    ) -> (Rc<Self>, impl Future<Output = ()> + 'static) {
        let (reporter, opened) = oneshot::channel();
        let (closer, closed) = oneshot::channel();
        let connection = Rc::new(Self {
            opened: opened.shared(),
            counter: Rc::new(ByteCounter::default()),
            outstanding: Cell::new(0),
            last_used: Cell::new(now),
            overdue: Cell::new(false),
            retired: Cell::new(false),
            closer: RefCell::new(Some(closer)),
        });
        let driver = drive(
            to,
            dial,
            Rc::clone(&connection),
            keepalive,
            reporter,
            closed,
        );
        (connection, driver)
    }

    /// Asks the driver to close the connection.
    pub(crate) fn close(&self) {
        self.closer.borrow_mut().take();
    }

    /// Lets the driver close the connection when its last call has ended.
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

    /// Takes the handle whose drop closes the connection.
    pub(crate) fn take_closer(&self) -> Option<oneshot::Sender<()>> {
        self.closer.borrow_mut().take()
    }
}

async fn drive(
    to: NodeAddress,
    dial: SocketAddr,
    connection: Rc<PeerConnection>,
    keepalive: KeepaliveConfig,
    reporter: oneshot::Sender<Result<SendRequest<Bytes>>>,
    mut closed: oneshot::Receiver<()>,
) {
    let opening = time::timeout(
        keepalive.connect_timeout,
        open(to, dial, &connection, keepalive),
    )
    .await;
    let (sender, mut channel, mut probe) = match opening {
        Ok(Ok(parts)) => parts,
        Ok(Err(error)) => {
            let _ = reporter.send(Err(error));
            return;
        }
        Err(_) => {
            let _ = reporter.send(Err(unreachable(to, "no answer in time")));
            return;
        }
    };
    let _ = reporter.send(Ok(sender));
    let ended = future::poll_fn(|context| {
        if channel.poll_unpin(context).is_ready() {
            return Poll::Ready(true);
        }
        let active = connection.outstanding.get() > 0;
        let silent = probe.poll_silent(context, active).is_ready();
        connection.overdue.set(probe.is_overdue());
        if silent {
            log::info!("event=peer_silent node={to}");
            return Poll::Ready(true);
        }
        closed.poll_unpin(context).map(|_| false)
    })
    .await;
    if !ended {
        // Resets of dropped streams are still queued.
        let _ = time::timeout(LINGER_TIMEOUT, channel).await;
    }
}

type Channel = client::Connection<StreamWrapper<CountedStream>, Bytes>;

/// Connects and waits for the answer to a first PING.
///
/// Nothing of a request is written before, so that a peer that closes excess connections or never
/// answers costs a call that is known not to have run.
async fn open(
    to: NodeAddress,
    dial: SocketAddr,
    connection: &PeerConnection,
    keepalive: KeepaliveConfig,
) -> Result<(SendRequest<Bytes>, Channel, LinkProbe)> {
    let stream = TcpStream::connect_addr(dial)
        .await
        .map_err(|error| unreachable(to, error))?;
    let stream = CountedStream::new(stream, Rc::clone(&connection.counter));
    let (sender, mut channel) = client::Builder::new()
        .initial_window_size(256 << 10)
        .initial_connection_window_size(1 << 20)
        .max_header_list_size(8 << 10)
        .enable_push(false)
        .handshake(StreamWrapper::new(stream))
        .await
        .map_err(|error| unreachable(to, error))?;
    let ping = channel
        .ping_pong()
        .ok_or_else(|| unreachable(to, "no PING handle"))?;
    let mut probe = LinkProbe::new(ping, keepalive);
    probe.start();
    future::poll_fn(|context| {
        if let Poll::Ready(result) = Pin::new(&mut channel).poll(context) {
            let error = match result {
                Ok(()) => unreachable(to, "closed during the handshake"),
                Err(error) => unreachable(to, error),
            };
            return Poll::Ready(Err(error));
        }
        let silent = probe.poll_silent(context, false).is_ready();
        match (silent, probe.is_waiting()) {
            (true, _) => Poll::Ready(Err(unreachable(to, "the first PING failed"))),
            (false, true) => Poll::Pending,
            (false, false) => Poll::Ready(Ok(())),
        }
    })
    .await?;
    Ok((sender, channel, probe))
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
