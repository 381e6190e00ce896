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
use monoio_compat::StreamWrapper;

use crate::peer::counted_stream::CountedStream;
use crate::peer::link_probe::LinkProbe;
use crate::peer::stream_handler::{ShutdownSignal, StreamHandler};
use crate::peer::{ByteCounter, KeepaliveConfig};

/// Longest time for the h2 handshake of an accepted connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// A PING every 30 s, answered within 20 s. A peer that stopped in the middle of a frame cannot
/// answer, so its buffers are freed. 512 idle connections cost about 0.6 KB/s.
const KEEPALIVE: KeepaliveConfig = KeepaliveConfig {
    connect_timeout: HANDSHAKE_TIMEOUT,
    tick: Duration::from_secs(10),
    active_interval_ticks: 3,
    idle_interval_ticks: None,
    timeout_ticks: 2,
};
/// Most streams of one peer at a time.
const MAX_STREAMS: u32 = 1_024;

/// Serves one accepted connection and all its streams in one future.
pub(crate) struct ServerConnection {
    pub(crate) handler: Rc<dyn StreamHandler>,
    pub(crate) shutdown: ShutdownSignal,
}

impl ServerConnection {
    pub(crate) async fn serve(mut self, stream: TcpStream) {
        let counter = Rc::new(ByteCounter::default());
        let stream = CountedStream::new(stream, Rc::clone(&counter));
        let handshake = server::Builder::new()
            .initial_window_size(256 << 10)
            .initial_connection_window_size(1 << 20)
            .max_header_list_size(8 << 10)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake::<_, Bytes>(StreamWrapper::new(stream));
        let Ok(Ok(mut channel)) = time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
            return;
        };
        let Some(ping) = channel.ping_pong() else {
            return;
        };
        let mut probe = LinkProbe::new(ping, KEEPALIVE);
        let mut streams = FuturesUnordered::new();
        let mut leaving = false;
        // Dropping `streams` at the end cancels the handlers that are still running.
        loop {
            let accepted = future::poll_fn(|context| {
                if !leaving && self.shutdown.poll_unpin(context).is_ready() {
                    leaving = true;
                    channel.graceful_shutdown();
                }
                while let Poll::Ready(Some(())) = streams.poll_next_unpin(context) {}
                if let Poll::Ready(accepted) = channel.poll_accept(context) {
                    return Poll::Ready(accepted.and_then(Result::ok));
                }
                probe.poll_silent(context, true).map(|()| None)
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
