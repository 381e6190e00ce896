//! Starts a node, and stops it on SIGTERM.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::{ClockTime, SystemClock};
use crate::error::{Error, Result, ResultCode};
use crate::event_loop;
use crate::id::NodeAddress;
use crate::node::{StopWatch, TaskGroup};
use crate::peer::{PeerPool, PeerServer, ProbePlan};
use crate::sidecar::body_budget::BodyBudget;
use crate::sidecar::call_table::CallTable;
use crate::sidecar::client_server::{self, ClientContext};
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::endpoint_client::EndpointClient;
use crate::sidecar::endpoint_stats::EndpointStats;
use crate::sidecar::exit_service::ExitService;
use crate::sidecar::forward_streams::ForwardStreams;
use crate::sidecar::node_pages::{self, NodePages};
use crate::sidecar::node_state::NodeState;
use crate::sidecar::registry_task::RegistryTask;
use crate::sidecar::reload_task::ReloadTask;
use crate::sidecar::reload_watch::ReloadWatch;
use crate::sidecar::route_stats::RouteStats;
use crate::sidecar::slot_gate::SlotGate;
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
/// Time between two looks whether the endpoint still works on requests of a stopping node.
const WORK_POLL: ClockTime = ClockTime(20);
/// Time for other nodes to take the last answers. A connection to a node that is cut off or gone
/// does not end by itself.
const ANSWER_TIME: ClockTime = ClockTime(300);
/// Last part of the grace time, in which what is left is cut and the process ends: a sixth, within
/// which the platform does not expect answers any more.
const KILL_PART: u64 = 6;

/// Runs a node until SIGTERM.
///
/// # Errors
///
/// A code of the settings; `SettingsOutOfRange` if an address cannot be bound or the event loop cannot be started.
pub fn run(adapter: Rc<dyn PlatformAdapter>) -> Result<()> {
    let settings = Rc::new(adapter.load_settings()?);
    event_loop::run(serve(settings, adapter))?
}

async fn serve(settings: Rc<SidecarSettings>, adapter: Rc<dyn PlatformAdapter>) -> Result<()> {
    let clock = SystemClock::new();
    let watch = StopWatch::new()?;
    let reload_watch = ReloadWatch::new()?;
    let clients = bind(settings.client_listen)?;
    let ready = bind(settings.ready_listen)?;
    let metrics = bind(settings.metrics_listen)?;
    let state = Rc::new(NodeState::new(clock, &settings)?);
    let tasks = Rc::new(TaskGroup::new());
    let answer_limit = (settings.memory.0 / ANSWER_PART) as usize;
    let names = Rc::new(settings.headers.clone());
    let process = rand::random();
    let exit = Rc::new(ExitService {
        process,
        state: Rc::clone(&state),
        gate: SlotGate::new(clock, FIRST_CAPACITY),
        client: EndpointClient::new(settings.endpoint, clock, names, answer_limit),
        table: CallTable::default(),
        tasks: Rc::clone(&tasks),
        repeated_part: Cell::new(0.0),
        closed: Cell::new(false),
    });
    let streams = Rc::new(ForwardStreams {
        service: Rc::clone(&exit),
        views: Rc::new(ViewService {
            state: Rc::clone(&state),
            process,
        }),
        body_limit: (settings.memory.0 / BODY_PART) as usize,
    });
    let peer_address = NodeAddress(settings.peer_listen);
    let peers = PeerServer::bind_streams(peer_address, streams, ACCEPT_RATE, clock)?;
    let pool = Rc::new(PeerPool::new(clock, answer_limit).with_probe_plan(PROBE_PLAN));
    let dispatcher = Rc::new(Dispatcher {
        settings: Rc::clone(&settings),
        state: Rc::clone(&state),
        exit: Rc::clone(&exit),
        pool: Rc::clone(&pool),
        sender: process,
        next_call: Cell::new(0),
        clocks: RefCell::default(),
        picker: RefCell::new(TargetPicker::new()),
        endpoints: RefCell::new(EndpointStats::default()),
        routes: RefCell::new(RouteStats::default()),
        budgets: RefCell::new(HashMap::new()),
    });
    let (stop_clients, clients_stopped) = StopSignal::new();
    let (stop_rest, rest_stopped) = StopSignal::new();
    let context = Rc::new(ClientContext {
        settings: Rc::clone(&settings),
        state: Rc::clone(&state),
        dispatcher: Rc::clone(&dispatcher),
        bodies: BodyBudget::new(ByteSize(settings.memory.0 / BODY_PART)),
    });
    let client_task = monoio::spawn(client_server::serve(clients, context, clients_stopped));
    let pages = Rc::new(NodePages {
        ready_path: settings.ready_path.clone(),
        state: Rc::clone(&state),
        exit: Rc::clone(&exit),
    });
    let ready_task = monoio::spawn(node_pages::serve(
        ready,
        Rc::clone(&pages),
        rest_stopped.clone(),
    ));
    let metrics_task = monoio::spawn(node_pages::serve(metrics, pages, rest_stopped.clone()));
    let registry = RegistryTask {
        adapter: Rc::clone(&adapter),
        state: Rc::clone(&state),
        exit: Rc::clone(&exit),
        dispatcher,
        settings: Rc::clone(&settings),
        views: ViewClient {
            pool: Rc::clone(&pool),
            port: settings.peer_listen.port(),
        },
        marks: RefCell::default(),
        position: Cell::new(None),
        failures: Cell::new(0),
        registry_lost: Cell::new(false),
    };
    let registry_task = monoio::spawn(registry.run(rest_stopped.clone()));
    let reload = ReloadTask {
        adapter,
        state: Rc::clone(&state),
        watch: reload_watch,
        started_with: Rc::clone(&settings),
    };
    let reload_task = monoio::spawn(reload.run(rest_stopped));
    log::info!(
        "event=start node={} zone={} service={} incarnation={}",
        settings.name,
        settings.zone,
        settings.service,
        clock.incarnation()
    );

    watch.wait().await;
    let begun = clock.now();
    log::info!("event=stop_begun node={}", settings.name);
    state.leave();
    // Clients are sent here until the platform has seen that the node is not ready.
    time::sleep((ClockTime(READY_INTERVAL.0 * READY_MISSES + 500)).to_duration()).await;
    drop(stop_clients);
    exit.closed.set(true);
    let grace = state.bounds().grace;
    let end = begun + grace - ClockTime(grace.0 / KILL_PART);
    let limit = end - clock.now();
    let drained = time::timeout(limit.to_duration(), client_task)
        .await
        .is_ok();
    while exit.gate.load().outstanding > 0 && clock.now() < end {
        time::sleep(WORK_POLL.to_duration()).await;
    }
    let cut = peers.shutdown(ANSWER_TIME.min(end - clock.now())).await;
    let rest = end - clock.now();
    let finished = time::timeout(rest.to_duration(), tasks.join())
        .await
        .is_ok();
    drop(stop_rest);
    if drained && finished {
        ready_task.await;
        metrics_task.await;
        registry_task.await;
        reload_task.await;
        pool.close().await;
    }
    log::info!(
        "event=stop node={} clients_answered={drained} peers_cut={cut} work_ended={finished}",
        settings.name
    );
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|error| {
        Error::new(
            ResultCode::SettingsOutOfRange,
            format!("{address} cannot be bound: {error}"),
        )
    })
}
