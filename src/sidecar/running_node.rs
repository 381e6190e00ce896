use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use monoio::task::JoinHandle;
use monoio::time;

use crate::advice::AdviceRecorder;
use crate::backend::HttpClient;
use crate::caller::StopSignal;
use crate::clock::{ClockTime, SystemClock};
use crate::cold::{ColdRoom, ColdTask};
use crate::error::Result;
use crate::id::NodeAddress;
use crate::introduction::IntroductionTask;
use crate::listener;
use crate::memory::MemoryAccount;
use crate::node::TaskGroup;
use crate::peer::{KeepaliveConfig, PeerPool, PeerServer};
use crate::quarantine::{CrashGuard, QuarantineTask};
use crate::rate_limit::ArrivalPacer;
use crate::sidecar::ahead_budget::AheadBudget;
use crate::sidecar::attempt_sender::AttemptSender;
use crate::sidecar::call_table::CallTable;
use crate::sidecar::client_server::{self, ClientContext};
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::endpoint_client::EndpointClient;
use crate::sidecar::forward_handler::ForwardHandler;
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::load_balancer::LoadBalancer;
use crate::sidecar::mesh_sync_task::MeshSyncTask;
use crate::sidecar::mesh_updater::MeshUpdater;
use crate::sidecar::monitoring_service::{self, MonitoringService};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::reload_signal::ReloadSignal;
use crate::sidecar::reload_task::ReloadTask;
use crate::sidecar::retry_budgets::RetryBudgets;
use crate::sidecar::slot_semaphore::SlotSemaphore;
use crate::sidecar::view_client::ViewClient;
use crate::sidecar::view_service::ViewService;
use crate::sidecar::{PlatformAdapter, SidecarSettings, StopSchedule, TargetPicker};
use crate::size::ByteSize;

/// Slots of the local endpoint until the registry provides its capacity.
const INITIAL_SLOT_COUNT: usize = 1;
/// Divisor of the memory that gives the size limit of one response.
const RESPONSE_MEMORY_DIVISOR: u64 = 8;
/// Divisor of the memory that gives the limit for all messages of clients, nodes and the endpoint.
const ACCOUNT_MEMORY_DIVISOR: u64 = 2;
/// Divisor of the memory that gives the limit for responses that wait for an earlier response of
/// their connection.
const HELD_MEMORY_DIVISOR: u64 = 8;
/// Maximum number of pipelined requests that a node starts before their turn.
const AHEAD_REQUEST_LIMIT: usize = 512;
/// Limit for accepted peer connections per second. It lets a restarted fleet of several hundred
/// nodes connect within seconds.
const PEER_ACCEPTS_PER_S: usize = 500;
/// Probe intervals short enough to detect an unresponsive peer connection within the latency
/// objective of slow requests.
const KEEPALIVE: KeepaliveConfig = KeepaliveConfig {
    connect_timeout: Duration::from_millis(400),
    tick: Duration::from_millis(250),
    active_interval_ticks: 1,
    idle_interval_ticks: Some(4),
    timeout_ticks: 3,
};
/// Time limit for connecting to the local endpoint for a health check.
const PROBE_CONNECT_TIMEOUT: ClockTime = ClockTime(250);
/// Maximum size of the body of a health response.
const MAX_PROBE_BYTES: usize = 64 * 1024;
/// Time that the clock of a starting node shows. A view read by another node earlier than that
/// would seem to be as old as the node.
const MAX_VIEW_AGE: ClockTime = ClockTime(86_400_000);
/// Interval at which a stopping node checks whether the endpoint still has outstanding requests.
const OUTSTANDING_POLL_INTERVAL: ClockTime = ClockTime(20);
/// Time for other nodes to receive the last responses. A connection to an unreachable or stopped
/// node does not end by itself.
const PEER_SHUTDOWN_TIMEOUT: ClockTime = ClockTime(300);

/// A running node with its tasks.
pub(crate) struct RunningNode {
    settings: Rc<SidecarSettings>,
    state: Rc<NodeState>,
    inbound: Rc<InboundService>,
    pool: Rc<PeerPool>,
    peers: PeerServer,
    tasks: Rc<TaskGroup>,
    stop_clients: oneshot::Sender<()>,
    abort_requests: oneshot::Sender<()>,
    clients: JoinHandle<()>,
    stop_background: oneshot::Sender<()>,
    /// Tasks for readiness, metrics, registry synchronization and settings reload.
    background_tasks: Vec<JoinHandle<()>>,
}

impl RunningNode {
    /// Binds all addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// `SettingsOutOfRange` if an address cannot be bound or a signal cannot be handled.
    pub(crate) fn start(
        settings: Rc<SidecarSettings>,
        adapter: Rc<dyn PlatformAdapter>,
    ) -> Result<Self> {
        let clock = SystemClock::starting_at(MAX_VIEW_AGE);
        let signal = ReloadSignal::new()?;
        let listeners = [
            listener::bind(settings.ready_listen)?,
            listener::bind(settings.metrics_listen)?,
        ];
        let state = Rc::new(NodeState::new(clock, &settings)?);
        let tasks = Rc::new(TaskGroup::new());
        let process = rand::random();
        let limit = ByteSize(memory_share(&settings, ACCOUNT_MEMORY_DIVISOR) as u64);
        let memory = MemoryAccount::new(clock, limit);
        let inbound = new_inbound_service(&settings, &state, &tasks, process, &memory);
        let peers = new_peer_server(&settings, &state, &inbound, &memory)?;
        let response_limit = memory_share(&settings, RESPONSE_MEMORY_DIVISOR);
        let pool = Rc::new(PeerPool::new(clock, response_limit).with_keepalive(KEEPALIVE));
        let (abort_requests, requests_aborted) = StopSignal::new();
        let dispatcher = new_dispatcher(&settings, &inbound, &pool, &memory, requests_aborted);
        let (stop_clients, clients_stopped) = StopSignal::new();
        let (stop_background, background_stopped) = StopSignal::new();
        let context = Rc::new(ClientContext {
            settings: Rc::clone(&settings),
            state: Rc::clone(&state),
            dispatcher: Rc::clone(&dispatcher),
            memory: Rc::clone(&memory),
            ahead: AheadBudget::new(
                AHEAD_REQUEST_LIMIT,
                memory_share(&settings, HELD_MEMORY_DIVISOR),
            ),
        });
        let clients = listener::bind_clients(settings.client_listen)?;
        let clients = monoio::spawn(client_server::serve(clients, context, clients_stopped));
        let monitoring = Rc::new(MonitoringService {
            ready_path: settings.ready_path.clone(),
            state: Rc::clone(&state),
            inbound: Rc::clone(&inbound),
            memory: Rc::clone(&memory),
        });
        let mut background_tasks: Vec<_> = listeners
            .into_iter()
            .map(|listener| {
                let monitoring = Rc::clone(&monitoring);
                monoio::spawn(monitoring_service::serve(
                    listener,
                    monitoring,
                    background_stopped.clone(),
                ))
            })
            .collect();
        let views = ViewClient {
            pool: Rc::clone(&pool),
            port: settings.peer_listen.port(),
        };
        let mesh_sync = MeshSyncTask {
            adapter: Rc::clone(&adapter),
            state: Rc::clone(&state),
            updater: MeshUpdater {
                state: Rc::clone(&state),
                inbound: Rc::clone(&inbound),
                dispatcher,
            },
            settings: Rc::clone(&settings),
            views,
            cursors: RefCell::default(),
            position: Cell::new(None),
            pending_config_read: Cell::new(None),
            lagging_config: Cell::new(None),
            first_page: RefCell::default(),
            failures: Cell::new(0),
            outage: RefCell::default(),
            reader: RefCell::default(),
            last_parent: Cell::new(None),
            trees: RefCell::default(),
        };
        background_tasks.push(monoio::spawn(mesh_sync.run(background_stopped.clone())));
        let cold = ColdTask {
            room: Rc::clone(&inbound.room),
            pacer: Rc::clone(&inbound.pacer),
            slots: Rc::clone(&inbound.slots),
            client: HttpClient {
                address: settings.endpoint,
                connect_timeout: PROBE_CONNECT_TIMEOUT,
                body_limit: MAX_PROBE_BYTES,
            },
            headers: settings.headers.clone(),
        };
        background_tasks.push(monoio::spawn(cold.run(background_stopped.clone())));
        let introductions = IntroductionTask {
            settings: Rc::clone(&settings),
            state: Rc::clone(&state),
            pool: Rc::clone(&pool),
            trees: RefCell::default(),
        };
        background_tasks.push(monoio::spawn(introductions.run(background_stopped.clone())));
        let quarantine = QuarantineTask {
            settings: Rc::clone(&settings),
            state: Rc::clone(&state),
            pool: Rc::clone(&pool),
        };
        background_tasks.push(monoio::spawn(quarantine.run(background_stopped.clone())));
        let reload = ReloadTask {
            adapter,
            state: Rc::clone(&state),
            signal,
            initial_settings: Rc::clone(&settings),
        };
        background_tasks.push(monoio::spawn(reload.run(background_stopped)));
        log::info!(
            "event=start node={} zone={} service={} transfer_time={} incarnation={}",
            settings.name,
            settings.zone,
            settings.service,
            settings.registry_transfer_time,
            clock.incarnation()
        );
        Ok(Self {
            settings,
            state,
            inbound,
            pool,
            peers,
            tasks,
            stop_clients,
            abort_requests,
            clients,
            stop_background,
            background_tasks,
        })
    }

    /// Shuts the node down within the grace time: reports not ready, finishes accepted requests and
    /// joins all tasks.
    pub(crate) async fn stop(self) {
        let clock = self.state.clock;
        let schedule = StopSchedule::new(clock.now(), self.state.bounds().grace);
        log::info!("event=stop_begun node={}", self.settings.name);
        self.state.begin_shutdown(schedule);
        time::sleep((schedule.accepts_until - clock.now()).to_duration()).await;
        self.inbound.closed.set(true);
        // The endpoint sends its calls through this node while it works.
        while self.inbound.slots.load().outstanding > 0 && clock.now() < schedule.answers_by {
            time::sleep(OUTSTANDING_POLL_INTERVAL.to_duration()).await;
        }
        drop(self.stop_clients);
        let mut clients = self.clients;
        let remaining = schedule.answers_by - clock.now();
        let clients_answered = time::timeout(remaining.to_duration(), &mut clients).await;
        let mut clients_answered = clients_answered.is_ok();
        if !clients_answered {
            log::info!("event=requests_given_up node={}", self.settings.name);
            drop(self.abort_requests);
            let remaining = schedule.ends_at - clock.now();
            let answered = time::timeout(remaining.to_duration(), clients).await;
            clients_answered = answered.is_ok();
        }
        while self.inbound.slots.load().outstanding > 0 && clock.now() < schedule.answers_by {
            time::sleep(OUTSTANDING_POLL_INTERVAL.to_duration()).await;
        }
        let end = schedule.ends_at;
        let peers_cut = self
            .peers
            .shutdown(PEER_SHUTDOWN_TIMEOUT.min(end - clock.now()))
            .await;
        let remaining = end - clock.now();
        let work_ended = time::timeout(remaining.to_duration(), self.tasks.join()).await;
        let work_ended = work_ended.is_ok();
        drop(self.stop_background);
        if clients_answered && work_ended {
            for task in self.background_tasks {
                task.await;
            }
            self.pool.close().await;
        }
        log::info!(
            "event=stop node={} clients_answered={clients_answered} peers_cut={peers_cut} work_ended={work_ended}",
            self.settings.name
        );
    }
}

fn new_inbound_service(
    settings: &SidecarSettings,
    state: &Rc<NodeState>,
    tasks: &Rc<TaskGroup>,
    process: u64,
    memory: &Rc<MemoryAccount>,
) -> Rc<InboundService> {
    let clock = state.clock;
    let names = Rc::new(settings.headers.clone());
    let response_limit = memory_share(settings, RESPONSE_MEMORY_DIVISOR);
    let room = Rc::new(ColdRoom::new(clock));
    let pacer = Rc::new(ArrivalPacer::new(clock, Rc::clone(&room)));
    let advice = AdviceRecorder::new(Rc::clone(state), Rc::clone(&names), Rc::clone(&pacer));
    Rc::new(InboundService {
        process,
        state: Rc::clone(state),
        slots: SlotSemaphore::new(clock, INITIAL_SLOT_COUNT, Rc::clone(&pacer)),
        room: Rc::clone(&room),
        pacer: Rc::clone(&pacer),
        client: EndpointClient::new(
            settings.endpoint,
            Rc::clone(state),
            names,
            response_limit,
            Rc::clone(memory),
            room,
            advice,
        ),
        crashes: CrashGuard::new(Rc::clone(state)),
        calls: CallTable::default(),
        tasks: Rc::clone(tasks),
        retry_share: Cell::new(0.0),
        parents: RefCell::default(),
        closed: Cell::new(false),
    })
}

fn new_peer_server(
    settings: &SidecarSettings,
    state: &Rc<NodeState>,
    inbound: &Rc<InboundService>,
    memory: &Rc<MemoryAccount>,
) -> Result<PeerServer> {
    let streams = Rc::new(ForwardHandler {
        inbound: Rc::clone(inbound),
        views: Rc::new(ViewService {
            state: Rc::clone(state),
            process: inbound.process,
            compressed: RefCell::default(),
        }),
        body_limit: memory_share(settings, ACCOUNT_MEMORY_DIVISOR),
        memory: Rc::clone(memory),
    });
    let address = NodeAddress(settings.peer_listen);
    PeerServer::bind_streams(address, streams, PEER_ACCEPTS_PER_S, state.clock)
}

fn new_dispatcher(
    settings: &Rc<SidecarSettings>,
    inbound: &Rc<InboundService>,
    pool: &Rc<PeerPool>,
    memory: &Rc<MemoryAccount>,
    abort: StopSignal,
) -> Rc<Dispatcher> {
    let state = &inbound.state;
    let balancer = Rc::new(LoadBalancer {
        settings: Rc::clone(settings),
        state: Rc::clone(state),
        pool: Rc::clone(pool),
        endpoints: RefCell::default(),
        routes: RefCell::default(),
    });
    let attempts = AttemptSender {
        settings: Rc::clone(settings),
        state: Rc::clone(state),
        inbound: Rc::clone(inbound),
        pool: Rc::clone(pool),
        memory: Rc::clone(memory),
        balancer: Rc::clone(&balancer),
        process: inbound.process,
        next_call: Cell::new(0),
        clocks: RefCell::default(),
    };
    let retries = RetryBudgets {
        state: Rc::clone(state),
        inbound: Rc::clone(inbound),
        budgets: RefCell::default(),
    };
    Rc::new(Dispatcher {
        state: Rc::clone(state),
        balancer,
        attempts,
        retries,
        picker: RefCell::new(TargetPicker::new()),
        abort,
    })
}

/// Returns the memory divided by `divisor`, in bytes.
fn memory_share(settings: &SidecarSettings, divisor: u64) -> usize {
    (settings.memory.0 / divisor) as usize
}
