use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::net::TcpListener;
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::sidecar::SidecarSettings;
use crate::sidecar::ahead_budget::AheadBudget;
use crate::sidecar::body_budget::BodyBudget;
use crate::sidecar::client_session::ClientSession;
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::node_state::NodeState;

/// Delay after a failed accept, which prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: ClockTime = ClockTime(50);

/// State shared by all client connections.
pub(crate) struct ClientContext {
    pub(crate) settings: Rc<SidecarSettings>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) bodies: Rc<BodyBudget>,
    pub(crate) ahead: Rc<AheadBudget>,
}

/// Accepts client connections until the stop signal is given, then waits until all running requests
/// have been responded to.
pub(crate) async fn serve(listener: TcpListener, context: Rc<ClientContext>, stop: StopSignal) {
    let mut sessions: FuturesUnordered<LocalBoxFuture<'static, ()>> = FuturesUnordered::new();
    let limit = context.settings.descriptors;
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
            Ok(_) if sessions.len() >= limit => {
                log::warn!("event=connection_refused open={limit}");
            }
            Ok((stream, _)) => {
                let session = ClientSession::new(stream, Rc::clone(&context), stop.clone());
                sessions.push(session.run().boxed_local());
            }
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                time::sleep(ACCEPT_RETRY_DELAY.to_duration()).await;
            }
        }
    }
    drop(listener);
    while sessions.next().await.is_some() {}
}
