use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::EndpointId;
use crate::mesh::{DirectoryEvent, MeshConfig, RegistryChange, RegistryRead};
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::packed_config::PackedConfig;
use crate::sidecar::view_message::{ConfigUpdate, ViewReply};

/// Time after an outage of the registry within which entries that had expired come back: two
/// seconds by the platform's statement, and a read interval to see them.
pub(crate) const SETTLE_TIME: ClockTime = ClockTime(2_500);

/// Puts what the node learns of the mesh in force and tells the parts that it concerns.
pub(crate) struct MeshUpdater {
    pub(crate) state: Rc<NodeState>,
    pub(crate) exit: Rc<InboundService>,
    pub(crate) dispatcher: Rc<Dispatcher>,
}

impl MeshUpdater {
    /// Puts the configuration of another node in force unless the own one is as new.
    ///
    /// # Errors
    ///
    /// A code of the manifest; the own configuration may then be older than that of the node.
    pub(crate) fn update_config(&self, packed: &PackedConfig) -> Result<()> {
        let update = packed.unpack()?;
        let held = self.state.config();
        let is_held = |version| {
            let held = held.as_ref();
            held.is_some_and(|held| held.version() >= version)
        };
        let config = match (update, &held) {
            (ConfigUpdate::Whole(content), _) if is_held(content.version) => return Ok(()),
            (ConfigUpdate::Changes(delta), _) if is_held(delta.version) => return Ok(()),
            (ConfigUpdate::Whole(content), _) => MeshConfig::from_content(content)?,
            (ConfigUpdate::Changes(delta), Some(config)) => config.with_delta(delta)?,
            (ConfigUpdate::Changes(_), None) => {
                let message = "a delta without a configuration in force";
                return Err(Error::new(ResultCode::ManifestOutOfRange, message));
            }
        };
        self.install(&Arc::new(config));
        Ok(())
    }

    /// Adds the endpoints that another node knows.
    pub(crate) fn merge(&self, reply: ViewReply) {
        let now = self.state.clock.now();
        let mut events = Vec::new();
        {
            let mut directory = self.state.directory.borrow_mut();
            let mut named = HashSet::new();
            let mut missing = Vec::new();
            for entry in reply.entries {
                named.insert(entry.record.id.clone());
                if entry.missing {
                    missing.push(entry.record.id.clone());
                }
                events.extend(directory.publish(now, entry.record));
            }
            if !missing.is_empty() {
                directory.settle(now + SETTLE_TIME);
            }
            for id in missing {
                events.extend(directory.remove(now, &id));
            }
            let absent: Vec<EndpointId> = if reply.is_whole {
                let held = directory.records().map(|record| record.id.clone());
                held.filter(|id| !named.contains(id)).collect()
            } else {
                reply.removed
            };
            for id in absent {
                events.extend(directory.discard(&id));
            }
            directory.advance(reply.position);
        }
        self.act(events);
    }

    /// Puts a configuration in force unless the one in force is as new.
    pub(crate) fn install(&self, config: &Arc<MeshConfig>) {
        if self.state.install(config) {
            self.dispatcher.picker.borrow_mut().reset();
            log::info!("event=config_in_force version={}", config.version());
        }
    }

    /// Records that configuration and endpoints reflect the registry up to a position.
    pub(crate) fn advance(&self, position: u64) {
        self.state.directory.borrow_mut().advance(position);
    }

    /// Puts the changes of a read in force.
    pub(crate) fn apply(&self, read: RegistryRead) {
        let now = self.state.clock.now();
        let mut events = Vec::new();
        let mut named = HashSet::new();
        for change in read.changes {
            let mut directory = self.state.directory.borrow_mut();
            match change {
                RegistryChange::Config(config) => {
                    drop(directory);
                    self.install(&config);
                }
                RegistryChange::Endpoint(record) => {
                    named.insert(record.id.clone());
                    events.extend(directory.publish(now, record));
                }
                RegistryChange::EndpointRemoved(id) => events.extend(directory.remove(now, &id)),
            }
        }
        if read.is_snapshot {
            events.extend(self.state.directory.borrow_mut().retain(now, &named));
        }
        self.act(events);
    }

    /// Removes endpoints that did not come back after an outage.
    pub(crate) fn expire(&self) {
        let now = self.state.clock.now();
        let events = self.state.directory.borrow_mut().expire(now);
        self.act(events);
    }

    fn act(&self, events: Vec<DirectoryEvent>) {
        for event in events {
            let id = event.endpoint();
            self.state.metrics.record_endpoint_event(event.name());
            log::info!("event=endpoint_{} endpoint={id}", event.name());
            match &event {
                DirectoryEvent::Ready(id) => self.adopt_endpoint(id),
                DirectoryEvent::Draining(id) => self.turn_away(id),
                DirectoryEvent::Missing(_) => {}
                DirectoryEvent::Gone(id) => {
                    self.dispatcher.balancer.endpoints.borrow_mut().remove(id);
                    self.turn_away(id);
                }
            }
        }
    }

    /// Prepares for an endpoint that has appeared beside the node.
    fn adopt_endpoint(&self, id: &EndpointId) {
        let directory = self.state.directory.borrow();
        let Some(record) = directory.record(id) else {
            return;
        };
        if record.address == self.exit.client.address() {
            self.exit.client.reset();
            self.exit.slots.set_capacity(record.capacity as usize);
        }
    }

    /// Turns away what waits for an endpoint that leaves.
    fn turn_away(&self, id: &EndpointId) {
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
            self.exit.slots.reject_waiting();
        }
    }
}
