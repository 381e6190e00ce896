use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::error::{Result, ResultCode};
use crate::mesh::{DirectoryEvent, RegistryChange, RegistryRead, RegistrySource};
use crate::sidecar::MeshBounds;
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::exit_service::ExitService;
use crate::sidecar::node_state::NodeState;

/// Part of the shortest bound after which the registry is read again, so that a change is known
/// well within its bound also when one read is slow.
const READ_PART: u64 = 4;
/// First and longest pause after a failed read.
const FIRST_PAUSE: ClockTime = ClockTime(50);
const MAX_PAUSE: ClockTime = ClockTime(800);
/// Time after an outage of the registry within which entries that had expired come back: two
/// seconds by the platform's statement, and a read interval to see them.
const SETTLE_TIME: ClockTime = ClockTime(2_500);

/// Keeps the state of the node in step with the registry.
pub(crate) struct RegistryTask {
    pub(crate) source: Rc<dyn RegistrySource>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) exit: Rc<ExitService>,
    pub(crate) dispatcher: Rc<Dispatcher>,
    pub(crate) bounds: MeshBounds,
}

impl RegistryTask {
    /// Reads until the signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let reading = pin!(self.read_forever());
        let stopped = pin!(stop.wait());
        match future::select(reading, stopped).await {
            Either::Left(_) | Either::Right(_) => {}
        }
    }

    async fn read_forever(&self) {
        let mut position = None;
        let mut pause = FIRST_PAUSE;
        let mut failed = false;
        loop {
            let begun = self.state.clock.now();
            match self.read(position).await {
                Ok(read) => {
                    if failed {
                        log::info!("event=registry_back pause_ms={pause}");
                        let until = self.state.clock.now() + SETTLE_TIME;
                        self.state.directory.borrow_mut().settle(until);
                        failed = false;
                    }
                    pause = FIRST_PAUSE;
                    position = Some(read.position);
                    self.apply(read);
                    self.rest(begun).await;
                }
                Err(error) if error.code() == ResultCode::HistoryGone => {
                    log::info!("event=registry_history_gone position={position:?}");
                    position = None;
                }
                Err(error) => {
                    if !failed {
                        log::warn!(
                            "event=registry_lost age_ms={} cause=\"{error}\"",
                            self.state.age()
                        );
                    }
                    failed = true;
                    let jitter = rand::random_range(0.5..1.5);
                    let wait = ClockTime((pause.as_f64() * jitter) as u64);
                    time::sleep(wait.to_duration()).await;
                    pause = ClockTime(pause.0 * 2).min(MAX_PAUSE);
                }
            }
            self.expire();
        }
    }

    async fn read(&self, position: Option<u64>) -> Result<RegistryRead> {
        let interval = self.interval();
        match position {
            None => self.source.snapshot().await,
            Some(position) => self.source.watch(position, ClockTime(interval.0 * 2)).await,
        }
    }

    /// Waits until the next read is due, because most changes are reports that change nothing.
    async fn rest(&self, begun: ClockTime) {
        let due = begun + self.interval();
        let now = self.state.clock.now();
        if due > now {
            time::sleep((due - now).to_duration()).await;
        }
    }

    fn interval(&self) -> ClockTime {
        let bound = self.bounds.config_apply.min(self.bounds.drain);
        ClockTime(bound.0 / READ_PART)
    }

    fn apply(&self, read: RegistryRead) {
        let now = self.state.clock.now();
        let mut events = Vec::new();
        let mut named = HashSet::new();
        for change in read.changes {
            let mut directory = self.state.directory.borrow_mut();
            match change {
                RegistryChange::Config(config) => {
                    drop(directory);
                    if self.state.install(&config) {
                        self.dispatcher.picker.borrow_mut().reset();
                        log::info!("event=config_in_force version={}", config.version());
                    }
                }
                RegistryChange::Endpoint(record) => {
                    named.insert(record.id.clone());
                    events.extend(directory.publish(now, record));
                }
                RegistryChange::EndpointRemoved(id) => events.extend(directory.remove(now, &id)),
            }
        }
        let mut directory = self.state.directory.borrow_mut();
        if read.is_snapshot {
            events.extend(directory.retain(now, &named));
        }
        directory.advance(read.position);
        drop(directory);
        self.state.confirm(now);
        self.act(events);
    }

    fn expire(&self) {
        let now = self.state.clock.now();
        let events = self.state.directory.borrow_mut().expire(now);
        self.act(events);
    }

    fn act(&self, events: Vec<DirectoryEvent>) {
        for event in events {
            log::info!("event=endpoint {event:?}");
            match event {
                DirectoryEvent::Ready(id) => {
                    let directory = self.state.directory.borrow();
                    let Some(record) = directory.record(&id) else {
                        continue;
                    };
                    if record.address == self.exit.client.address() {
                        self.exit.client.reset();
                        self.exit.gate.set_capacity(record.capacity as usize);
                    }
                }
                DirectoryEvent::Draining(id) => self.turn_away(&id),
                DirectoryEvent::Missing(_) => {}
                DirectoryEvent::Gone(id) => {
                    self.dispatcher.endpoints.borrow_mut().forget(&id);
                    self.turn_away(&id);
                }
            }
        }
    }

    /// Turns away what waits for an endpoint that leaves.
    fn turn_away(&self, id: &crate::id::EndpointId) {
        let directory = self.state.directory.borrow();
        let here = self.exit.client.address();
        let successor = directory
            .records()
            .any(|record| record.address == here && record.id != *id);
        let own = directory
            .record(id)
            .is_none_or(|record| record.address == here);
        drop(directory);
        if own && !successor {
            self.exit.gate.close_waiting();
        }
    }
}
