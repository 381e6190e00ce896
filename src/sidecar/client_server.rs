use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::net::TcpListener;
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::logging::LogRateLimiter;
use crate::memory::MemoryAccount;
use crate::sidecar::SidecarSettings;
use crate::sidecar::ahead_budget::AheadBudget;
use crate::sidecar::client_session::ClientSession;
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::node_state::NodeState;

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: ClockTime = ClockTime(50);

/// Memory of a connection without a request: its read buffer and its state.
pub(crate) const CONNECTION_BYTES: u64 = 8 * 1024;
/// Descriptors that are kept for other connections: a fixed number, and a fraction of all.
const KEPT_DESCRIPTOR_COUNT: usize = 64;
const KEPT_DIVISOR: usize = 8;
/// Interval between two log lines about refused connections.
const LOG_INTERVAL: ClockTime = ClockTime(1_000);

/// State shared by all client connections.
pub(crate) struct ClientContext {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) memory: Rc<MemoryAccount>,
    pub(crate) ahead: Rc<AheadBudget>,
}

/// Returns the number of connections of clients. The other descriptors are left for connections to other
/// nodes, to the endpoint and to the registry, and for readiness checks.
fn client_limit(descriptors: usize) -> usize {
    let kept = descriptors / KEPT_DIVISOR + KEPT_DESCRIPTOR_COUNT;
    descriptors.saturating_sub(kept).max(descriptors / 2)
}

/// Accepts client connections until the stop signal is given, then waits until all running requests
/// have been responded to.
pub(crate) async fn serve(listener: TcpListener, context: Rc<ClientContext>, stop: StopSignal) {
    let mut sessions: FuturesUnordered<LocalBoxFuture<'static, ()>> = FuturesUnordered::new();
    let limit = client_limit(context.settings.descriptors);
    let mut refusals = LogRateLimiter::new(LOG_INTERVAL);
    while !stop.is_triggered() {
        let event = {
            let accept = pin!(listener.accept());
            let stopped = pin!(stop.wait());
            let ended = pin!(async {
                if sessions.is_empty() {
                    future::pending::<()>().await;
                }
                sessions.next().await;
            });
            match future::select(stopped, future::select(ended, accept)).await {
                Either::Left(_) => break,
                Either::Right((Either::Left(_), _)) => continue,
                Either::Right((Either::Right((event, _)), _)) => event,
            }
        };
        match event {
            Ok((stream, _)) => match context.memory.claim_connection(CONNECTION_BYTES, limit) {
                Some(claim) => {
                    let context = Rc::clone(&context);
                    let session = ClientSession::new(stream, context, stop.clone(), claim);
                    sessions.push(session.run().boxed_local());
                }
                None => {
                    let now = context.state.clock.now();
                    if let Some(suppressed) = refusals.admit("connection_refused", now) {
                        let open = sessions.len();
                        log::warn!(
                            "event=connection_refused open={open} limit={limit} memory={} suppressed={suppressed}",
                            context.memory.used()
                        );
                    }
                }
            },
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await;
            }
        }
    }
    drop(listener);
    while sessions.next().await.is_some() {}
}
