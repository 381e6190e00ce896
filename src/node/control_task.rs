use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::mpsc;
use futures_util::stream::StreamExt;
use monoio::time;
use rand::rngs::StdRng;

use crate::clock::{ClockTime, SystemClock};
use crate::distribution::{Actions, ControlAction, ControlState};
use crate::error::{Error, ResultCode};
use crate::id::{NodeAddress, RegionName, ServiceName, ZoneName};
use crate::logging::LogRateLimiter;
use crate::membership::MemberState;
use crate::metrics::{LinkScope, NodeMetrics};
use crate::node::{
    ControlEvent, EndpointSelector, LinkIdAllocator, LinkTable, SharedState, SlotLimiter,
    TaskGroup, link_task,
};
use crate::peer::{ControlMessage, PeerCaller};
use crate::platform::{ConfigSource, InstanceSource};

/// Interval between ticks of the control state.
const TICK_INTERVAL: ClockTime = ClockTime(100);
/// Interval between updates of gauges and byte counters.
const METRICS_INTERVAL: ClockTime = ClockTime(1_000);

/// Task that passes events to the control state and performs the actions that it returns.
pub(crate) struct ControlTask {
    pub(crate) clock: SystemClock,
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) region: RegionName,
    pub(crate) state: Rc<RefCell<ControlState>>,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) selector: Rc<EndpointSelector>,
    pub(crate) limiter: SlotLimiter,
    pub(crate) peers: Rc<dyn PeerCaller>,
    pub(crate) config: Rc<dyn ConfigSource>,
    pub(crate) instances: Rc<dyn InstanceSource>,
    pub(crate) metrics: Rc<NodeMetrics>,
    pub(crate) tasks: Rc<TaskGroup>,
    pub(crate) link_ids: Rc<LinkIdAllocator>,
    pub(crate) rng: StdRng,
    pub(crate) links: LinkTable,
    pub(crate) log_gate: LogRateLimiter,
    /// Whether the node is shutting down, as opposed to leaving because its backend server drains.
    pub(crate) shutting_down: bool,
}

impl ControlTask {
    /// Runs until [`ControlEvent::Stop`] arrives or the event channel is closed.
    pub(crate) async fn run(mut self, mut events: mpsc::UnboundedReceiver<ControlEvent>) {
        let mut next_tick = self.clock.now();
        let mut next_metrics = next_tick;
        loop {
            let now = self.shared.observe();
            self.handle_pause(now);
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                let actions = self.state.borrow_mut().on_tick(now, &mut self.rng);
                self.perform(actions);
            }
            if now >= next_metrics {
                next_metrics = now + METRICS_INTERVAL;
                self.update_metrics();
            }
            let wait = (next_tick - self.clock.now()).to_duration();
            match time::timeout(wait, events.next()).await {
                Ok(Some(ControlEvent::Stop) | None) => return,
                Ok(Some(event)) => self.handle(event),
                Err(_) => {}
            }
        }
    }

    /// Handles a process pause before any other event: messages that arrived during the pause must
    /// not count as responses.
    fn handle_pause(&mut self, now: ClockTime) {
        if let Some(gap) = self.shared.take_pause() {
            log::warn!("event=paused gap_ms={}", gap.0);
            self.metrics.record_pause();
            let actions = self.state.borrow_mut().on_pause(now);
            self.perform(actions);
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.shared.observe();
        self.handle_pause(now);
        let state = Rc::clone(&self.state);
        let mut state = state.borrow_mut();
        let actions = match event {
            ControlEvent::StampSeen { from, stamp } => state.on_stamp_seen(from, stamp, now),
            ControlEvent::Unreachable { peer } => state.on_unreachable(peer, now),
            // A backend server that recovers must not revert the shutdown of its node.
            ControlEvent::BackendUsable { .. } if self.shutting_down => Actions::new(),
            ControlEvent::BackendUsable { usable } => {
                self.shared.set_leaving(!usable);
                let new_state = if usable {
                    MemberState::Live
                } else {
                    MemberState::Leaving
                };
                state.on_own_state(new_state, now)
            }
            ControlEvent::Leave => {
                self.shutting_down = true;
                self.shared.set_leaving(true);
                state.on_own_state(MemberState::Leaving, now)
            }
            ControlEvent::LinkUp(handle) => {
                let peer = handle.peer;
                if !self.links.add(handle, self.shared.address()) {
                    return;
                }
                state.on_link_up(peer, now)
            }
            ControlEvent::LinkMessage {
                link_id,
                peer,
                message,
            } => {
                if !self.links.is_active(peer, link_id) {
                    return;
                }
                state.on_message(peer, message, now)
            }
            ControlEvent::LinkDown { link_id, peer } => {
                if !self.links.remove(peer, link_id) {
                    return;
                }
                state.on_link_down(peer, now, &mut self.rng);
                Actions::new()
            }
            ControlEvent::ManifestRead(result) => {
                let label = if result.is_ok() { "ok" } else { "failed" };
                self.metrics.record_platform_read("manifest", label);
                state.on_manifest_read(result, now)
            }
            ControlEvent::InstancesRead(result) => {
                let label = if result.is_ok() { "ok" } else { "failed" };
                self.metrics.record_platform_read("instances", label);
                state.on_instances_read(result, now)
            }
            ControlEvent::Paused | ControlEvent::Stop => Actions::new(),
        };
        drop(state);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Actions) {
        for action in actions {
            match action {
                ControlAction::Send { to, message } => self.send(to, message),
                ControlAction::Open { to } => self.open(to),
                ControlAction::Close { to } => self.links.close(to),
                ControlAction::ReadManifest { after, wait } => {
                    let (config, shared) = (Rc::clone(&self.config), Rc::clone(&self.shared));
                    self.tasks.spawn(async move {
                        let result = config.read_manifest(after, wait).await;
                        shared.send_event(ControlEvent::ManifestRead(result));
                    });
                }
                ControlAction::ReadInstances { after, wait } => {
                    let (instances, shared) = (Rc::clone(&self.instances), Rc::clone(&self.shared));
                    self.tasks.spawn(async move {
                        let result = instances.read_instances(after, wait).await;
                        shared.send_event(ControlEvent::InstancesRead(result));
                    });
                }
                ControlAction::Install(manifest) => {
                    let stamp = manifest.stamp();
                    log::info!(
                        "event=installed version={} digest={}",
                        stamp.number,
                        stamp.digest
                    );
                    self.metrics
                        .set_version(stamp.number, self.clock.unix_time_ms());
                    self.metrics.record_version_event("installed");
                    if let Some(service) = manifest.service(&self.service) {
                        self.limiter.resize(service.slots);
                    }
                    self.shared.install(manifest);
                    self.update_endpoints();
                }
                ControlAction::MembersChanged => {
                    let now = self.clock.now();
                    self.shared.set_members(self.state.borrow().snapshot(now));
                    self.update_endpoints();
                }
                ControlAction::ReadyChanged(ready) => {
                    log::info!("event=ready_changed ready={ready}");
                    self.shared.set_ready(ready);
                    self.metrics.set_ready(ready);
                }
                ControlAction::Log { level, error } => self.log_event(level, &error),
            }
        }
    }

    fn send(&mut self, to: NodeAddress, message: ControlMessage) {
        if !self.links.send(to, message) {
            // A full send queue means that the peer does not read.
            self.links.close(to);
            let now = self.clock.now();
            self.state.borrow_mut().on_link_down(to, now, &mut self.rng);
        }
    }

    fn open(&mut self, to: NodeAddress) {
        let link_id = self.link_ids.next();
        self.links.start_opening(to, link_id);
        self.tasks.spawn(link_task::open_link(
            link_id,
            to,
            Rc::clone(&self.peers),
            Rc::clone(&self.shared),
        ));
    }

    fn update_endpoints(&self) {
        if let Some(manifest) = self.shared.manifest() {
            self.selector.update(&manifest, &self.shared.members());
        }
    }

    fn update_metrics(&mut self) {
        let members = self.shared.members();
        for bytes in self.links.take_bytes() {
            let scope = match members.member(&bytes.peer).map(|view| &view.entry) {
                Some(entry) if entry.region != self.region => LinkScope::InterRegion,
                Some(entry) if entry.zone != self.zone => LinkScope::Region,
                _ => LinkScope::Zone,
            };
            self.metrics
                .record_control_bytes(scope, bytes.sent, bytes.received);
        }
        let live = members
            .iter()
            .filter(|view| view.entry.state == MemberState::Live)
            .count();
        self.metrics.set_fleet(live, self.links.len());
        let (running, queued) = self.limiter.counts();
        self.metrics.set_slots(running, queued);
    }

    fn log_event(&mut self, level: log::Level, error: &Error) {
        let event = match error.code() {
            ResultCode::ManifestConflict => Some("conflict"),
            ResultCode::ManifestStale => Some("stale"),
            code if code.number() / 100 == 2 => Some("refused"),
            _ => None,
        };
        if let Some(event) = event {
            self.metrics.record_version_event(event);
        }
        let key = format!("{}:{}", error.code(), error.message());
        if let Some(repeated) = self.log_gate.admit(&key, self.clock.now()) {
            log::log!(
                level,
                "event=control code={} repeated={repeated} error=\"{}\"",
                error.code(),
                error.message()
            );
        }
    }
}
