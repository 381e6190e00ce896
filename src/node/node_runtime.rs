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
    ControlEvent, EndpointService, NodeContext, NodeExit, StopWatch, TaskGroup, health_task,
};
use crate::peer::PeerServer;
use crate::settings::NodeSettings;

/// Time for which a leaving node still takes new work, until others know that it leaves.
const LEAVE_GRACE: ClockTime = ClockTime(1_000);
/// Time between two looks at whether the calls that a leaving node holds have ended.
const DRAIN_POLL: ClockTime = ClockTime(20);
/// Time between two removals of expired keys.
const KEY_SWEEP: ClockTime = ClockTime(1_000);
/// Holds the running tasks of a node and ends them in order.
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
        let callers = bind(settings.listen.caller)?;
        let operators = bind(settings.listen.admin)?;
        let (events, inbox) = mpsc::unbounded();
        let context = NodeContext::new(settings, events)?;
        let peer_server = PeerServer::bind(
            NodeAddress(context.settings.listen.peer),
            Rc::new(context.peer_service()),
            context.settings.call.body_limit.0 as usize,
            context.clock,
        )?;
        let control = TaskGroup::new();
        control.spawn(context.control_task().run(inbox));

        let servers = TaskGroup::new();
        let (stop_callers, stopped) = StopSignal::new();
        let entry = Rc::new(context.entry_service());
        let caller_server = CallerServer::new(entry, server_limits(&context.settings));
        servers.spawn(async move { caller_server.serve(callers, stopped).await });
        let (stop_admin, stopped) = StopSignal::new();
        let pages = Rc::new(context.admin_pages());
        let admin_server = AdminServer::new(pages, ServerLimits::default());
        servers.spawn(async move { admin_server.serve(operators, stopped).await });
        let (stop_health, stopped) = StopSignal::new();
        servers.spawn(health_task::watch_health(
            Rc::clone(&context.backend) as Rc<dyn BackendServer>,
            Rc::clone(&context.view),
            context.settings.backend.health_interval,
            stopped.clone(),
        ));
        servers.spawn(sweep_keys(Rc::clone(&context.endpoint), stopped));
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

    /// Runs until a signal, then leaves without cutting a call.
    ///
    /// A second signal or the drain timeout makes the shutdown a forced one.
    pub(crate) async fn run(self, signals: &StopWatch) -> NodeExit {
        signals.wait().await;
        let view = Rc::clone(&self.context.view);
        let gate = self.context.gate.clone();
        let limit = self.context.settings.call.drain_timeout;
        let forced = pin!(async {
            let _ = time::timeout(limit.to_duration(), signals.wait()).await;
        });
        let leaving = pin!(self.leave());
        match future::select(leaving, forced).await {
            Either::Left(_) => {
                log::info!("event=stopped");
                NodeExit::Clean
            }
            Either::Right(_) => {
                view.close();
                let (running, queued) = gate.counts();
                let cut = running + queued;
                log::warn!("event=stopped_by_force cut={cut}");
                NodeExit::Cut(cut)
            }
        }
    }

    async fn leave(self) {
        log::info!("event=leaving");
        self.context.view.send(ControlEvent::Leave);
        time::sleep(LEAVE_GRACE.to_duration()).await;
        self.context.view.close();
        // Work that runs here may still call other services through this node.
        while !self.context.gate.is_idle() {
            time::sleep(DRAIN_POLL.to_duration()).await;
        }
        let _ = self.stop_callers.send(());
        let _ = self.stop_health.send(());
        let limit = self.context.settings.call.drain_timeout;
        self.peer_server.shutdown(limit).await;
        self.context.view.send(ControlEvent::Stop);
        self.control.join().await;
        let _ = self.stop_admin.send(());
        self.servers.join().await;
        self.context.tasks.join().await;
        self.context.pool.close().await;
        self.context.backend.close().await;
    }
}

async fn sweep_keys(endpoint: Rc<EndpointService>, stop: StopSignal) {
    while !stop.is_triggered() {
        let _ = time::timeout(KEY_SWEEP.to_duration(), stop.wait()).await;
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
