use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::mpsc;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::admission::{AdmissionPolicy, AdmissionQueue, FifoQueue};
use crate::backend::{BackendServer, HttpBackend};
use crate::burn::BurnRateTracker;
use crate::clock::{ClockTime, SystemClock};
use crate::distribution::{ControlSettings, ControlState};
use crate::error::Result;
use crate::id::NodeAddress;
use crate::logging::LogRateLimiter;
use crate::membership::{MemberEntry, MemberState};
use crate::metrics::NodeMetrics;
use crate::node::{
    AdminPages, CallRouter, CallSender, ControlEvent, ControlTask, EndpointSelector,
    EndpointService, LinkIdAllocator, LinkTable, PeerService, SharedState, SlotLimiter, TaskGroup,
};
use crate::once::{KeyLimits, KeyRecordStore};
use crate::peer::{PeerCaller, PeerPool};
use crate::platform::HttpPlatform;
use crate::retry::{HedgePolicy, RetryBudget};
use crate::settings::NodeSettings;
use crate::size::{ByteSize, SlotCount};

/// Slots of the backend server until a manifest that sets them is installed.
const INITIAL_SLOTS: SlotCount = SlotCount(1);
/// Connections to the backend server: more than its slots, to leave room for health checks and
/// cancellations.
const BACKEND_CONNECTIONS: usize = 100;
/// Idempotency keys kept: 60 per second over a lifetime of 600 s is 36,000; the rest is headroom.
const MAX_KEYS: usize = 60_000;
/// Total size of the responses recorded for replay.
const MAX_RECORDED_RESPONSE_BYTES: ByteSize = ByteSize(8 << 20);
/// Interval in which a repeated event is logged at most once.
const LOG_INTERVAL: ClockTime = ClockTime(10_000);

/// The components shared by the tasks of a node, from which the other components are built.
pub(crate) struct NodeContext {
    pub(crate) clock: SystemClock,
    pub(crate) settings: NodeSettings,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) limiter: SlotLimiter,
    pub(crate) tasks: Rc<TaskGroup>,
    pub(crate) backend: Rc<HttpBackend>,
    pub(crate) pool: Rc<PeerPool>,
    pub(crate) endpoint: Rc<EndpointService>,
    member: MemberEntry,
    selector: Rc<EndpointSelector>,
    state: Rc<RefCell<ControlState>>,
    link_ids: Rc<LinkIdAllocator>,
    burn_rates: Rc<RefCell<BurnRateTracker>>,
    metrics: Rc<NodeMetrics>,
    rng: RefCell<StdRng>,
}

impl NodeContext {
    /// Creates the shared components; `events` is the channel to the control task.
    pub(crate) fn new(
        settings: NodeSettings,
        events: mpsc::UnboundedSender<ControlEvent>,
    ) -> Result<Self> {
        let clock = SystemClock::new();
        let mut rng = settings
            .random_seed
            .map_or_else(StdRng::from_os_rng, StdRng::seed_from_u64);
        let member = own_member(&settings, clock);
        let shared = Rc::new(SharedState::new(clock, member.address, events));
        let tasks = Rc::new(TaskGroup::new());
        let metrics = Rc::new(NodeMetrics::new()?);
        let policy = admission_policy(&settings, rng.random());
        let limiter = SlotLimiter::new(clock, policy, Rc::clone(&metrics));
        let backend = Rc::new(HttpBackend::new(
            settings.backend.address,
            settings.backend.connect_timeout,
            BACKEND_CONNECTIONS,
            settings.call.body_limit,
        ));
        let key_limits = KeyLimits {
            lifetime: settings.call.key_lifetime,
            settle_time: settings.call.key_settle,
        };
        let key_records = KeyRecordStore::new(
            clock.now(),
            key_limits,
            MAX_KEYS,
            MAX_RECORDED_RESPONSE_BYTES,
        );
        let endpoint = Rc::new(EndpointService {
            clock,
            address: member.address,
            incarnation: member.incarnation,
            service: member.service.clone(),
            shared: Rc::clone(&shared),
            limiter: limiter.clone(),
            backend: Rc::clone(&backend) as Rc<dyn BackendServer>,
            key_records: Rc::new(RefCell::new(key_records)),
            key_limits,
            tasks: Rc::clone(&tasks),
        });
        let body_limit = settings.call.body_limit.0 as usize;
        let pool = PeerPool::new(clock, body_limit).with_dial_addresses(settings.dial.clone());
        let selector = EndpointSelector::new(
            clock,
            member.zone.clone(),
            member.region.clone(),
            settings.call.plain_policy,
            rng.random(),
        );
        let state = ControlState::new(control_settings(&settings, &member), clock.now());
        let burn_rates = BurnRateTracker::new(settings.burn.clone(), clock.now());
        Ok(Self {
            clock,
            settings,
            shared,
            limiter,
            tasks,
            backend,
            pool: Rc::new(pool),
            endpoint,
            member,
            selector: Rc::new(selector),
            state: Rc::new(RefCell::new(state)),
            link_ids: Rc::new(LinkIdAllocator::default()),
            burn_rates: Rc::new(RefCell::new(burn_rates)),
            metrics,
            rng: RefCell::new(rng),
        })
    }

    /// Creates the handler for requests from other nodes.
    pub(crate) fn peer_service(&self) -> PeerService {
        PeerService {
            endpoint: Rc::clone(&self.endpoint),
            shared: Rc::clone(&self.shared),
            link_ids: Rc::clone(&self.link_ids),
        }
    }

    /// Creates the handler for calls from callers.
    pub(crate) fn call_router(&self) -> CallRouter {
        CallRouter {
            clock: self.clock,
            address: self.member.address,
            incarnation: self.member.incarnation,
            depth_limit: self.settings.call.depth_limit,
            plain_policy: self.settings.call.plain_policy,
            shared: Rc::clone(&self.shared),
            selector: Rc::clone(&self.selector),
            sender: CallSender {
                address: self.member.address,
                shared: Rc::clone(&self.shared),
                selector: Rc::clone(&self.selector),
                local: Rc::clone(&self.endpoint),
                peers: Rc::clone(&self.pool) as Rc<dyn PeerCaller>,
            },
            budget: RefCell::new(RetryBudget::default()),
            hedges: RefCell::new(HedgePolicy::default()),
            burn_rates: Rc::clone(&self.burn_rates),
            metrics: Rc::clone(&self.metrics),
            rng: RefCell::new(self.new_rng()),
        }
    }

    /// Creates the task that owns the control state.
    pub(crate) fn control_task(&self) -> ControlTask {
        let platform = Rc::new(HttpPlatform::new(
            self.settings.platform.config,
            self.settings.platform.instances,
        ));
        ControlTask {
            clock: self.clock,
            service: self.member.service.clone(),
            zone: self.member.zone.clone(),
            region: self.member.region.clone(),
            state: Rc::clone(&self.state),
            shared: Rc::clone(&self.shared),
            selector: Rc::clone(&self.selector),
            limiter: self.limiter.clone(),
            peers: Rc::clone(&self.pool) as Rc<dyn PeerCaller>,
            config: Rc::clone(&platform) as _,
            instances: platform,
            metrics: Rc::clone(&self.metrics),
            tasks: Rc::clone(&self.tasks),
            link_ids: Rc::clone(&self.link_ids),
            rng: self.new_rng(),
            links: LinkTable::default(),
            log_gate: LogRateLimiter::new(LOG_INTERVAL),
            shutting_down: false,
        }
    }

    /// Creates the handler of the admin pages.
    pub(crate) fn admin_pages(&self) -> AdminPages {
        AdminPages {
            clock: self.clock,
            state: Rc::clone(&self.state),
            shared: Rc::clone(&self.shared),
            selector: Rc::clone(&self.selector),
            burn_rates: Rc::clone(&self.burn_rates),
            metrics: Rc::clone(&self.metrics),
        }
    }

    fn new_rng(&self) -> StdRng {
        StdRng::from_rng(&mut *self.rng.borrow_mut())
    }
}

fn own_member(settings: &NodeSettings, clock: SystemClock) -> MemberEntry {
    MemberEntry {
        address: NodeAddress(settings.listen.peer),
        admin: NodeAddress(settings.listen.admin),
        incarnation: clock.incarnation(),
        service: settings.placement.service.clone(),
        zone: settings.placement.zone.clone(),
        region: settings.placement.region.clone(),
        state: MemberState::Live,
    }
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
