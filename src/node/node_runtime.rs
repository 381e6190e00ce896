use std::pin::pin;
use std::rc::Rc;

use futures_channel::{mpsc, oneshot};
use futures_util::future::{self, Either};
use monoio::net::TcpListener;
use monoio::time;

use crate::admin::AdminServer;
use crate::backend::BackendServer;
use crate::caller::{CallerServer, ServerLimits, StopSignal};
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::node::{
    ControlEvent, EndpointService, NodeContext, NodeExit, SignalListener, TaskGroup, health_task,
};
use crate::peer::PeerServer;
use crate::settings::NodeSettings;

/// Time for which a leaving node still accepts new calls, until its peers have learned that it
/// leaves.
const LEAVE_GRACE: ClockTime = ClockTime(1_000);
/// Interval at which a leaving node checks whether its calls have ended.
const DRAIN_POLL_INTERVAL: ClockTime = ClockTime(20);
/// Interval at which expired idempotency keys are removed and settled endpoints are reported to the
/// key record store.
const KEY_MAINTENANCE_INTERVAL: ClockTime = ClockTime(1_000);

/// The running tasks of a node.
pub(crate) struct NodeRuntime {
    context: NodeContext,
    control: TaskGroup,
    servers: TaskGroup,
    peer_server: PeerServer,
    stop_callers: oneshot::Sender<()>,
    stop_admin: oneshot::Sender<()>,
    stop_health: oneshot::Sender<()>,
}

impl NodeRuntime {
    /// Binds every listener and starts every task.
    pub(crate) fn start(settings: NodeSettings) -> Result<Self> {
        let caller_listener = bind(settings.listen.caller)?;
        let admin_listener = bind(settings.listen.admin)?;
        let (events, receiver) = mpsc::unbounded();
        let context = NodeContext::new(settings, events)?;
        let peer_server = PeerServer::bind(
            NodeAddress(context.settings.listen.peer),
            Rc::new(context.peer_service()),
            context.settings.call.body_limit.0 as usize,
            context.clock,
        )?;
        let control = TaskGroup::new();
        control.spawn(context.control_task().run(receiver));

        let servers = TaskGroup::new();
        let (stop_callers, stopped) = StopSignal::new();
        let router = Rc::new(context.call_router());
        let caller_server = CallerServer::new(router, server_limits(&context.settings));
        servers.spawn(async move { caller_server.serve(caller_listener, stopped).await });
        let (stop_admin, stopped) = StopSignal::new();
        let pages = Rc::new(context.admin_pages());
        let admin_server = AdminServer::new(pages, ServerLimits::default());
        servers.spawn(async move { admin_server.serve(admin_listener, stopped).await });
        let (stop_health, stopped) = StopSignal::new();
        servers.spawn(health_task::watch_health(
            Rc::clone(&context.backend) as Rc<dyn BackendServer>,
            Rc::clone(&context.shared),
            context.settings.backend.health_interval,
            stopped.clone(),
        ));
        servers.spawn(maintain_keys(Rc::clone(&context.endpoint), stopped));
        Ok(Self {
            context,
            control,
            servers,
            peer_server,
            stop_callers,
            stop_admin,
            stop_health,
        })
    }

    /// Runs until a signal arrives, then shuts down without aborting calls in progress.
    ///
    /// A second signal or the end of the drain timeout forces the shutdown and aborts the calls
    /// that remain.
    pub(crate) async fn run(self, signals: &SignalListener) -> NodeExit {
        signals.wait().await;
        let shared = Rc::clone(&self.context.shared);
        let limiter = self.context.limiter.clone();
        let limit = self.context.settings.call.drain_timeout;
        let forced = pin!(async {
            let _ = time::timeout(limit.to_duration(), signals.wait()).await;
        });
        let graceful = pin!(self.shut_down());
        match future::select(graceful, forced).await {
            Either::Left(_) => {
                log::info!("event=stopped");
                NodeExit::Clean
            }
            Either::Right(_) => {
                shared.refuse_new_calls();
                let (running, queued) = limiter.counts();
                let aborted = running + queued;
                log::warn!("event=stopped_by_force cut={aborted}");
                NodeExit::Aborted(aborted)
            }
        }
    }

    /// Announces that the node leaves, drains the calls in progress and stops every task in order.
    async fn shut_down(self) {
        log::info!("event=leaving");
        self.context.shared.send_event(ControlEvent::Leave);
        time::sleep(LEAVE_GRACE.to_duration()).await;
        self.context.shared.refuse_new_calls();
        // Work in progress on the backend server may still call other services through this node.
        while !self.context.limiter.is_idle() {
            time::sleep(DRAIN_POLL_INTERVAL.to_duration()).await;
        }
        let _ = self.stop_callers.send(());
        let _ = self.stop_health.send(());
        let limit = self.context.settings.call.drain_timeout;
        self.peer_server.shutdown(limit).await;
        self.context.shared.send_event(ControlEvent::Stop);
        self.control.join().await;
        let _ = self.stop_admin.send(());
        self.servers.join().await;
        self.context.tasks.join().await;
        self.context.pool.close().await;
        self.context.backend.close().await;
    }
}

async fn maintain_keys(endpoint: Rc<EndpointService>, stop: StopSignal) {
    while !stop.is_triggered() {
        let _ = time::timeout(KEY_MAINTENANCE_INTERVAL.to_duration(), stop.wait()).await;
        endpoint.observe_members();
        endpoint.expire_keys();
    }
}

fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!("address {address} cannot be bound: {error}"),
        )
    })
}

fn server_limits(settings: &NodeSettings) -> ServerLimits {
    ServerLimits {
        head_limit: settings.call.head_limit,
        body_limit: settings.call.body_limit,
        head_timeout: settings.call.head_timeout,
        body_timeout: settings.call.body_timeout,
        ..ServerLimits::default()
    }
}
