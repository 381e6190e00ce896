use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;

use futures_channel::{mpsc, oneshot};
use futures_util::future::{self, Either};
use monoio::net::TcpListener;
use monoio::time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::admin::AdminServer;
use crate::admission::{AdmissionPolicy, AdmissionQueue, FifoQueue};
use crate::backend::{BackendServer, HttpBackend};
use crate::burn::BurnLedger;
use crate::caller::{CallerServer, ServerLimits, StopSignal};
use crate::clock::{ClockTime, SystemClock};
use crate::distribution::{ControlSettings, ControlState};
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::logging::EventGate;
use crate::membership::{MemberEntry, MemberState};
use crate::metrics::NodeMetrics;
use crate::node::{
    AdminPages, CallSender, ControlEvent, ControlTask, EndpointService, EndpointSet, EntryService,
    LinkIds, LinkTable, NodeExit, NodeView, PeerService, SlotGate, StopWatch, TaskGroup,
    health_task,
};
use crate::once::{KeyLedger, KeyLimits};
use crate::peer::{PeerCaller, PeerPool, PeerServer};
use crate::platform::HttpPlatform;
use crate::retry::{HedgePolicy, RetryBudget};
use crate::settings::NodeSettings;
use crate::size::{ByteSize, SlotCount};

/// Slots until a version says otherwise.
const INITIAL_SLOTS: SlotCount = SlotCount(1);
/// Connections to the backend server; more than the slots, for health checks and cancellations.
const BACKEND_CONNECTIONS: usize = 100;
/// Keys remembered: 60 a second over the lifetime of 600 s, with a reserve.
const KEY_LIMIT: usize = 60_000;
/// Total size of recorded answers.
const KEY_BYTES: ByteSize = ByteSize(8 << 20);
/// Time for which a leaving node still takes new work, until others know that it leaves.
const LEAVE_GRACE: ClockTime = ClockTime(1_000);
/// Time between two looks at whether the calls that a leaving node holds have ended.
const DRAIN_POLL: ClockTime = ClockTime(20);
/// Time between two removals of expired keys.
const KEY_SWEEP: ClockTime = ClockTime(1_000);
/// Interval within which an event is logged once.
const LOG_INTERVAL: ClockTime = ClockTime(10_000);

/// Holds the parts of a running node and ends them in order.
pub(crate) struct NodeRuntime {
    settings: NodeSettings,
    view: Rc<NodeView>,
    gate: SlotGate,
    tasks: Rc<TaskGroup>,
    control: TaskGroup,
    servers: TaskGroup,
    backend: Rc<HttpBackend>,
    pool: Rc<PeerPool>,
    peer_server: PeerServer,
    stop_callers: oneshot::Sender<()>,
    stop_admin: oneshot::Sender<()>,
    stop_health: oneshot::Sender<()>,
}

impl NodeRuntime {
    /// Binds every listener and starts every task.
    pub(crate) fn start(settings: NodeSettings) -> Result<Self> {
        let clock = SystemClock::new();
        let mut rng = settings
            .random_seed
            .map_or_else(StdRng::from_os_rng, StdRng::seed_from_u64);
        let callers = bind(settings.listen.caller)?;
        let operators = bind(settings.listen.admin)?;
        let address = NodeAddress(settings.listen.peer);
        let member = MemberEntry {
            address,
            admin: NodeAddress(settings.listen.admin),
            incarnation: clock.incarnation(),
            service: settings.placement.service.clone(),
            zone: settings.placement.zone.clone(),
            region: settings.placement.region.clone(),
            state: MemberState::Live,
        };
        let (events, inbox) = mpsc::unbounded();
        let view = Rc::new(NodeView::new(clock, address, events));
        let tasks = Rc::new(TaskGroup::new());
        let metrics = Rc::new(NodeMetrics::new()?);
        let policy = admission_policy(&settings, rng.random());
        let gate = SlotGate::new(clock, policy, Rc::clone(&metrics));
        let backend = Rc::new(HttpBackend::new(
            settings.backend.address,
            settings.backend.connect_timeout,
            BACKEND_CONNECTIONS,
            settings.call.body_limit,
        ));
        let key_limits = KeyLimits {
            lifetime: settings.call.key_lifetime,
            settle: settings.call.key_settle,
        };
        let ledger = KeyLedger::new(clock.now(), key_limits, KEY_LIMIT, KEY_BYTES);
        let endpoint = Rc::new(EndpointService {
            clock,
            address,
            incarnation: member.incarnation,
            service: member.service.clone(),
            view: Rc::clone(&view),
            gate: gate.clone(),
            backend: Rc::clone(&backend) as Rc<dyn BackendServer>,
            ledger: Rc::new(RefCell::new(ledger)),
            key_limits,
            tasks: Rc::clone(&tasks),
        });
        let link_ids = Rc::new(LinkIds::default());
        let body_limit = settings.call.body_limit.0 as usize;
        let peer_server = PeerServer::bind(
            address,
            Rc::new(PeerService {
                endpoint: Rc::clone(&endpoint),
                view: Rc::clone(&view),
                link_ids: Rc::clone(&link_ids),
            }),
            body_limit,
            clock,
        )?;
        let pool = PeerPool::new(clock, body_limit).with_dial_addresses(settings.dial.clone());
        let pool = Rc::new(pool);
        let endpoints = Rc::new(EndpointSet::new(
            clock,
            member.zone.clone(),
            member.region.clone(),
            settings.call.plain_policy,
            rng.random(),
        ));
        let burn = BurnLedger::new(settings.burn.clone(), clock.now());
        let burn = Rc::new(RefCell::new(burn));
        let entry = Rc::new(EntryService {
            clock,
            address,
            incarnation: member.incarnation,
            depth_limit: settings.call.depth_limit,
            plain: settings.call.plain_policy,
            view: Rc::clone(&view),
            endpoints: Rc::clone(&endpoints),
            sender: CallSender {
                address,
                view: Rc::clone(&view),
                endpoints: Rc::clone(&endpoints),
                own: Rc::clone(&endpoint),
                peers: Rc::clone(&pool) as Rc<dyn PeerCaller>,
            },
            budget: RefCell::new(RetryBudget::default()),
            hedges: RefCell::new(HedgePolicy::default()),
            burn: Rc::clone(&burn),
            metrics: Rc::clone(&metrics),
            rng: RefCell::new(StdRng::from_rng(&mut rng)),
        });
        let state = Rc::new(RefCell::new(ControlState::new(
            control_settings(&settings, &member),
            clock.now(),
        )));
        let platform = Rc::new(HttpPlatform::new(
            settings.platform.config,
            settings.platform.instances,
        ));
        let control = TaskGroup::new();
        let control_task = ControlTask {
            clock,
            service: member.service,
            zone: member.zone,
            region: member.region,
            state: Rc::clone(&state),
            view: Rc::clone(&view),
            endpoints: Rc::clone(&endpoints),
            gate: gate.clone(),
            peers: Rc::clone(&pool) as Rc<dyn PeerCaller>,
            config: Rc::clone(&platform) as _,
            instances: platform,
            metrics: Rc::clone(&metrics),
            tasks: Rc::clone(&tasks),
            link_ids,
            rng,
            links: LinkTable::default(),
            log_gate: EventGate::new(LOG_INTERVAL),
            departing: false,
        };
        control.spawn(control_task.run(inbox));

        let servers = TaskGroup::new();
        let (stop_callers, stopped) = StopSignal::new();
        let caller_server = CallerServer::new(entry, server_limits(&settings));
        servers.spawn(async move { caller_server.serve(callers, stopped).await });
        let (stop_admin, stopped) = StopSignal::new();
        let pages = Rc::new(AdminPages {
            clock,
            state,
            view: Rc::clone(&view),
            endpoints,
            burn,
            metrics,
        });
        let admin_server = AdminServer::new(pages, ServerLimits::default());
        servers.spawn(async move { admin_server.serve(operators, stopped).await });
        let (stop_health, stopped) = StopSignal::new();
        servers.spawn(health_task::watch_health(
            Rc::clone(&backend) as Rc<dyn BackendServer>,
            Rc::clone(&view),
            settings.backend.health_interval,
            stopped.clone(),
        ));
        servers.spawn(sweep_keys(endpoint, stopped));
        Ok(Self {
            settings,
            view,
            gate,
            tasks,
            control,
            servers,
            backend,
            pool,
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
        let view = Rc::clone(&self.view);
        let gate = self.gate.clone();
        let limit = self.settings.call.drain_timeout;
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
        self.view.send(ControlEvent::Leave);
        time::sleep(LEAVE_GRACE.to_duration()).await;
        self.view.close();
        // Work that runs here may still call other services through this node.
        while !self.gate.is_idle() {
            time::sleep(DRAIN_POLL.to_duration()).await;
        }
        let _ = self.stop_callers.send(());
        let _ = self.stop_health.send(());
        let limit = self.settings.call.drain_timeout;
        self.peer_server.shutdown(limit).await;
        self.view.send(ControlEvent::Stop);
        self.control.join().await;
        let _ = self.stop_admin.send(());
        self.servers.join().await;
        self.tasks.join().await;
        self.pool.close().await;
        self.backend.close().await;
    }
}

async fn sweep_keys(endpoint: Rc<EndpointService>, stop: StopSignal) {
    while !stop.is_given() {
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

fn admission_policy(settings: &NodeSettings, seed: u64) -> Box<dyn AdmissionPolicy> {
    let limit = settings.call.queue_limit;
    if settings.call.plain_policy {
        Box::new(FifoQueue::new(INITIAL_SLOTS, limit))
    } else {
        Box::new(AdmissionQueue::new(INITIAL_SLOTS, limit, seed))
    }
}

fn control_settings(settings: &NodeSettings, member: &MemberEntry) -> ControlSettings {
    ControlSettings {
        member: member.clone(),
        platform_region: settings.platform.region.clone(),
        call_budget: settings.platform.call_budget,
        watch_wait: settings.platform.watch_wait,
        seeds: settings.seeds.clone(),
        every_node_watches: settings.platform.every_node_watches,
    }
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
