use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use monoio::net::TcpListener;
use monoio::task::JoinHandle;
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::node::TaskGroup;
use crate::peer::{PeerPool, PeerServer, ProbePlan};
use crate::sidecar::attempt_sender::AttemptSender;
use crate::sidecar::body_budget::BodyBudget;
use crate::sidecar::call_table::CallTable;
use crate::sidecar::client_server::{self, ClientContext};
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::endpoint_client::EndpointClient;
use crate::sidecar::forward_handler::ForwardHandler;
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::load_balancer::LoadBalancer;
use crate::sidecar::mesh_updater::MeshUpdater;
use crate::sidecar::node_pages::{self, NodePages};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::registry_task::RegistryTask;
use crate::sidecar::reload_task::ReloadTask;
use crate::sidecar::reload_watch::ReloadWatch;
use crate::sidecar::retry_budgets::RetryBudgets;
use crate::sidecar::slot_semaphore::SlotSemaphore;
use crate::sidecar::view_client::ViewClient;
use crate::sidecar::view_service::ViewService;
use crate::sidecar::{PlatformAdapter, SidecarSettings, TargetPicker};
use crate::size::ByteSize;

/// Slots of an endpoint until the registry names them.
const FIRST_CAPACITY: usize = 1;
/// Largest answer that is held, as a part of the memory.
const ANSWER_PART: u64 = 8;
/// All request bodies that are held, as a part of the memory; another such part is left for those
/// that other nodes forward.
const BODY_PART: u64 = 4;
/// Connections of other nodes accepted in a second: a restarted fleet of some hundred nodes
/// connects within seconds.
const ACCEPT_RATE: usize = 500;
/// Connections to other nodes are probed often enough that a silent one is found within the
/// objective of slow requests.
const PROBE_PLAN: ProbePlan = ProbePlan {
    connect_timeout: Duration::from_millis(400),
    tick: Duration::from_millis(250),
    interval: 1,
    idle_interval: Some(4),
    limit: 3,
};
/// Questions about readiness that must have failed before clients stay away, and their interval.
const READY_INTERVAL: ClockTime = ClockTime(1_000);
const READY_MISSES: u64 = 2;
/// Time for the last of these questions to arrive.
const READY_MARGIN: ClockTime = ClockTime(500);
/// Time between two looks whether the endpoint still works on requests of a stopping node.
const WORK_POLL: ClockTime = ClockTime(20);
/// Time for other nodes to take the last answers. A connection to a node that is cut off or gone
/// does not end by itself.
const ANSWER_TIME: ClockTime = ClockTime(300);
/// Last part of the grace time, in which what is left is cut and the process ends: a sixth, within
/// which the platform does not expect answers any more.
const KILL_PART: u64 = 6;

/// Is a node with all its tasks.
pub(crate) struct RunningNode {
    settings: Rc<SidecarSettings>,
    state: Rc<NodeState>,
    exit: Rc<InboundService>,
    pool: Rc<PeerPool>,
    peers: PeerServer,
    tasks: Rc<TaskGroup>,
    stop_clients: oneshot::Sender<()>,
    clients: JoinHandle<()>,
    stop_rest: oneshot::Sender<()>,
    /// Readiness, metrics, reading of the registry and reloading.
    rest: Vec<JoinHandle<()>>,
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
        let clock = SystemClock::new();
        let watch = ReloadWatch::new()?;
        let listeners = [bind(settings.ready_listen)?, bind(settings.metrics_listen)?];
        let state = Rc::new(NodeState::new(clock, &settings)?);
        let tasks = Rc::new(TaskGroup::new());
        let process = rand::random();
        let exit = new_exit(&settings, &state, &tasks, process);
        let peers = new_peer_server(&settings, &state, &exit)?;
        let answer_limit = part_of(&settings, ANSWER_PART);
        let pool = Rc::new(PeerPool::new(clock, answer_limit).with_probe_plan(PROBE_PLAN));
        let dispatcher = new_dispatcher(&settings, &exit, &pool);
        let (stop_clients, clients_stopped) = StopSignal::new();
        let (stop_rest, rest_stopped) = StopSignal::new();
        let context = Rc::new(ClientContext {
            settings: Rc::clone(&settings),
            state: Rc::clone(&state),
            dispatcher: Rc::clone(&dispatcher),
            bodies: BodyBudget::new(ByteSize(part_of(&settings, BODY_PART) as u64)),
        });
        let clients = bind(settings.client_listen)?;
        let clients = monoio::spawn(client_server::serve(clients, context, clients_stopped));
        let pages = Rc::new(NodePages {
            ready_path: settings.ready_path.clone(),
            state: Rc::clone(&state),
            exit: Rc::clone(&exit),
        });
        let mut rest: Vec<_> = listeners
            .into_iter()
            .map(|listener| {
                let pages = Rc::clone(&pages);
                monoio::spawn(node_pages::serve(listener, pages, rest_stopped.clone()))
            })
            .collect();
        let views = ViewClient {
            pool: Rc::clone(&pool),
            port: settings.peer_listen.port(),
        };
        let registry = RegistryTask {
            adapter: Rc::clone(&adapter),
            state: Rc::clone(&state),
            updater: MeshUpdater {
                state: Rc::clone(&state),
                exit: Rc::clone(&exit),
                dispatcher,
            },
            settings: Rc::clone(&settings),
            views,
            marks: RefCell::default(),
            position: Cell::new(None),
            config_due: Cell::new(None),
            failures: Cell::new(0),
            registry_lost: Cell::new(false),
        };
        rest.push(monoio::spawn(registry.run(rest_stopped.clone())));
        let reload = ReloadTask {
            adapter,
            state: Rc::clone(&state),
            watch,
            started_with: Rc::clone(&settings),
        };
        rest.push(monoio::spawn(reload.run(rest_stopped)));
        log::info!(
            "event=start node={} zone={} service={} incarnation={}",
            settings.name,
            settings.zone,
            settings.service,
            clock.incarnation()
        );
        Ok(Self {
            settings,
            state,
            exit,
            pool,
            peers,
            tasks,
            stop_clients,
            clients,
            stop_rest,
            rest,
        })
    }

    /// Sends clients elsewhere, finishes what is held and joins all tasks, within the grace time.
    pub(crate) async fn stop(self) {
        let clock = self.state.clock;
        let begun = clock.now();
        log::info!("event=stop_begun node={}", self.settings.name);
        self.state.leave();
        let grace = self.state.bounds().grace;
        let end = begun + grace - ClockTime(grace.0 / KILL_PART);
        // Clients are sent here until the platform has seen that the node is not ready.
        let seen = ClockTime(READY_INTERVAL.0 * READY_MISSES) + READY_MARGIN;
        let leaving = seen.min(ClockTime((end - begun).0 / 2));
        time::sleep(leaving.to_duration()).await;
        drop(self.stop_clients);
        self.exit.closed.set(true);
        let left = end - clock.now();
        let answered = time::timeout(left.to_duration(), self.clients).await;
        let answered = answered.is_ok();
        while self.exit.slots.load().outstanding > 0 && clock.now() < end {
            time::sleep(WORK_POLL.to_duration()).await;
        }
        let cut = self
            .peers
            .shutdown(ANSWER_TIME.min(end - clock.now()))
            .await;
        let left = end - clock.now();
        let ended = time::timeout(left.to_duration(), self.tasks.join()).await;
        let ended = ended.is_ok();
        drop(self.stop_rest);
        if answered && ended {
            for task in self.rest {
                task.await;
            }
            self.pool.close().await;
        }
        log::info!(
            "event=stop node={} clients_answered={answered} peers_cut={cut} work_ended={ended}",
            self.settings.name
        );
    }
}

fn new_exit(
    settings: &SidecarSettings,
    state: &Rc<NodeState>,
    tasks: &Rc<TaskGroup>,
    process: u64,
) -> Rc<InboundService> {
    let clock = state.clock;
    let names = Rc::new(settings.headers.clone());
    let answer_limit = part_of(settings, ANSWER_PART);
    Rc::new(InboundService {
        process,
        state: Rc::clone(state),
        slots: SlotSemaphore::new(clock, FIRST_CAPACITY),
        client: EndpointClient::new(settings.endpoint, clock, names, answer_limit),
        calls: CallTable::default(),
        tasks: Rc::clone(tasks),
        retry_share: Cell::new(0.0),
        closed: Cell::new(false),
    })
}

fn new_peer_server(
    settings: &SidecarSettings,
    state: &Rc<NodeState>,
    exit: &Rc<InboundService>,
) -> Result<PeerServer> {
    let streams = Rc::new(ForwardHandler {
        service: Rc::clone(exit),
        views: Rc::new(ViewService {
            state: Rc::clone(state),
            process: exit.process,
            packed: RefCell::default(),
        }),
        body_limit: part_of(settings, BODY_PART),
    });
    let address = NodeAddress(settings.peer_listen);
    PeerServer::bind_streams(address, streams, ACCEPT_RATE, state.clock)
}

fn new_dispatcher(
    settings: &Rc<SidecarSettings>,
    exit: &Rc<InboundService>,
    pool: &Rc<PeerPool>,
) -> Rc<Dispatcher> {
    let state = &exit.state;
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
        inbound: Rc::clone(exit),
        pool: Rc::clone(pool),
        balancer: Rc::clone(&balancer),
        process: exit.process,
        next_call: Cell::new(0),
        clocks: RefCell::default(),
    };
    let retries = RetryBudgets {
        state: Rc::clone(state),
        inbound: Rc::clone(exit),
        budgets: RefCell::default(),
    };
    Rc::new(Dispatcher {
        state: Rc::clone(state),
        balancer,
        attempts,
        retries,
        picker: RefCell::new(TargetPicker::new()),
    })
}

/// Returns a part of the memory in bytes.
fn part_of(settings: &SidecarSettings, part: u64) -> usize {
    (settings.memory.0 / part) as usize
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!("{address} cannot be bound: {error}"),
        )
    })
}
