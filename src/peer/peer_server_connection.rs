use std::future;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use h2::server;
use monoio::net::TcpStream;
use monoio::time;

use crate::peer::counted_stream::CountedStream;
use crate::peer::keepalive_probe::KeepaliveProbe;
use crate::peer::stream_handler::{ShutdownSignal, StreamHandler};
use crate::peer::{ByteCounter, KeepaliveConfig, PinnedStream};

/// Time for the HTTP/2 handshake of an accepted connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Keepalive of accepted connections: a PING every 30 s that must be acknowledged within 20 s.
///
/// A peer that has stopped in the middle of a frame cannot acknowledge the PING, so its connection
/// is closed and its buffers are freed. Probing 512 idle connections costs about 0.6 KB/s.
const KEEPALIVE: KeepaliveConfig = KeepaliveConfig {
    connect_timeout: HANDSHAKE_TIMEOUT,
    tick: Duration::from_secs(10),
    active_interval_ticks: 3,
    idle_interval_ticks: None,
    timeout_ticks: 2,
};
/// Maximum number of concurrent streams of one connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_024;

/// Server side of one HTTP/2 connection from a peer, which serves all its streams in one future.
pub(crate) struct PeerServerConnection {
    pub(crate) handler: Rc<dyn StreamHandler>,
    pub(crate) shutdown: ShutdownSignal,
}

impl PeerServerConnection {
    pub(crate) async fn serve(mut self, stream: TcpStream) {
        let counter = Rc::new(ByteCounter::default());
        let stream = CountedStream::new(stream, Rc::clone(&counter));
        let handshake = server::Builder::new()
            .initial_window_size(256 << 10)
            .initial_connection_window_size(1 << 20)
            .max_header_list_size(8 << 10)
            .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
            .handshake::<_, Bytes>(PinnedStream::new(stream));
        let Ok(Ok(mut h2_connection)) = time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
            return;
        };
        let Some(ping) = h2_connection.ping_pong() else {
            return;
        };
        let mut probe = KeepaliveProbe::new(ping, KEEPALIVE);
        let mut streams = FuturesUnordered::new();
        let mut shutting_down = false;
        // Dropping `streams` at the end cancels the handlers that are still running.
        loop {
            let accepted = future::poll_fn(|context| {
                if !shutting_down && self.shutdown.poll_unpin(context).is_ready() {
                    shutting_down = true;
                    h2_connection.graceful_shutdown();
                }
                while let Poll::Ready(Some(())) = streams.poll_next_unpin(context) {}
                if let Poll::Ready(accepted) = h2_connection.poll_accept(context) {
                    return Poll::Ready(accepted.and_then(Result::ok));
                }
                probe.poll_timeout(context, true).map(|()| None)
            })
            .await;
            let Some((request, respond)) = accepted else {
                return;
            };
            let counter = Rc::clone(&counter);
            let shutdown = self.shutdown.clone();
            streams.push(self.handler.serve(request, respond, counter, shutdown));
        }
    }
}
