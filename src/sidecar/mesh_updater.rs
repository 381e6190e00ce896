use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::evacuation::EvacuationChange;
use crate::id::{EndpointId, ZoneName};
use crate::mesh::{
    self, DirectoryEvent, HistoryPosition, MeshConfig, RegistryChange, RegistryRead,
};
use crate::sidecar::compressed_config::CompressedConfig;
use crate::sidecar::config_origin::ConfigOrigin;
use crate::sidecar::dispatcher::Dispatcher;
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::view_message::{ConfigUpdate, ViewReply};

/// Time after a restore of the registry within which endpoints whose entries were lost register again:
/// the platform specifies two seconds, and one refresh interval is added for the node to read them.
const REREGISTRATION_WINDOW: ClockTime = ClockTime(2_500);

/// Component that applies configuration and endpoint changes to the node and notifies the
/// components that depend on them.
pub(crate) struct MeshUpdater {
    pub(crate) state: Rc<NodeState>,
    pub(crate) inbound: Rc<InboundService>,
    pub(crate) dispatcher: Rc<Dispatcher>,
}

impl MeshUpdater {
    /// Applies a configuration update from the node `sender` unless the installed configuration is
    /// at least as new.
    ///
    /// # Errors
    ///
    /// `PeerProtocol` if the update cannot be decoded, or a manifest code if its configuration is
    /// invalid. The installed configuration then stays unchanged.
    pub(crate) fn update_config(
        &self,
        sender: IpAddr,
        compressed: &CompressedConfig,
    ) -> Result<()> {
        let update = compressed.decode()?;
        let size = compressed.size();
        let installed = self.state.config();
        let is_installed = |version| {
            let installed = installed.as_ref();
            installed.is_some_and(|installed| installed.version() >= version)
        };
        let (config, origin) = match (update, &installed) {
            (ConfigUpdate::Snapshot(snapshot), _) if is_installed(snapshot.version) => {
                return Ok(());
            }
            (ConfigUpdate::Delta(delta), _) if is_installed(delta.version) => return Ok(()),
            (ConfigUpdate::Snapshot(snapshot), _) => {
                let config = MeshConfig::from_snapshot(snapshot)?;
                let node = sender;
                (config, ConfigOrigin::Snapshot { node, size })
            }
            (ConfigUpdate::Delta(delta), Some(config)) => {
                let origin = ConfigOrigin::Delta {
                    node: sender,
                    size,
                    changed_count: delta.changed.len(),
                    removed_count: delta.removed.len(),
                };
                (config.with_delta(delta)?, origin)
            }
            (ConfigUpdate::Delta(_), None) => {
                let message = "received a configuration delta, but no configuration is installed";
                return Err(Error::new(ResultCode::ManifestOutOfRange, message));
            }
        };
        self.install(&Arc::new(config), origin);
        Ok(())
    }

    /// Merges the endpoints of another node's view into the directory.
    pub(crate) fn merge_view(&self, reply: ViewReply) {
        let now = self.state.clock.now();
        if self.state.age().is_none() {
            self.state.record_known_since(now - reply.known_for);
        }
        if reply.position >= self.state.directory.borrow().position() {
            self.replace_evacuations(reply.evacuated.iter().cloned());
        }
        let is_new_era = self.begin_era(reply.listed_position, "node");
        let lacks_removals = self.lacks_removals(&reply);
        let mut events = Vec::new();
        {
            let mut directory = self.state.directory.borrow_mut();
            if lacks_removals || reply.entries.iter().any(|entry| entry.missing) {
                directory.keep_missing_until(now + reply.missing_kept_for);
            }
            if lacks_removals {
                directory.keep_missing_until(mesh::kept_until(now - reply.known_for));
            }
            let mut listed = HashSet::new();
            let mut missing = Vec::new();
            for entry in reply.entries {
                listed.insert(entry.record.id.clone());
                if entry.missing {
                    missing.push(entry.record.id.clone());
                }
                events.extend(directory.upsert(now, entry.record));
            }
            for id in missing {
                events.extend(directory.remove(now, &id));
            }
            let removed: Vec<EndpointId> = if reply.is_snapshot {
                let known = directory.records().map(|record| record.id.clone());
                known.filter(|id| !listed.contains(id)).collect()
            } else {
                reply.removed
            };
            for id in removed {
                events.extend(if is_new_era || (lacks_removals && reply.is_snapshot) {
                    directory.remove(now, &id)
                } else {
                    directory.remove_immediately(&id)
                });
            }
            directory.record_seen(reply.seen_position);
            if reply.is_snapshot {
                directory.record_full_listing(reply.listed_position);
            }
            directory.record_listing(reply.listed_position);
            directory.advance(reply.position);
        }
        self.handle_events(events);
    }

    /// Returns true if endpoints may be absent from a reply because their entries expired in an outage
    /// that the sender has not observed: it started, or started anew, after this node's last reading.
    fn lacks_removals(&self, reply: &ViewReply) -> bool {
        let age = self.state.age();
        let expiry = self.state.bounds().shortest_expiry();
        age.is_some_and(|age| age >= expiry && reply.known_for < age)
    }

    /// Replaces the evacuated availability zones.
    pub(crate) fn replace_evacuations<Zones>(&self, zones: Zones)
    where
        Zones: IntoIterator<Item = ZoneName>,
    {
        let now = self.state.clock.now();
        let change = self.state.evacuations.borrow_mut().replace(now, zones);
        self.handle_evacuations(&change);
    }

    fn handle_evacuations(&self, change: &EvacuationChange) {
        for zone in &change.begun {
            log::info!("event=evacuation_begun zone={zone}");
        }
        for zone in &change.ended {
            log::info!("event=evacuation_ended zone={zone}");
        }
        let zone = &self.state.zone;
        if change.begun.contains(zone) {
            self.inbound.slots.reject_waiting();
        }
        // The endpoints of the zone may have become cold meanwhile.
        if change.begun.contains(zone) || change.ended.contains(zone) {
            self.inbound.room.suspect("evacuation");
        }
    }

    /// Installs a configuration unless the installed one is at least as new.
    pub(crate) fn install(&self, config: &Arc<MeshConfig>, origin: ConfigOrigin) {
        let previous = self.state.config().map(|config| config.version());
        let lag = self.state.config_lag();
        if self.state.install(config) {
            self.dispatcher.picker.borrow_mut().reset();
            let spec = config.service(&self.state.service);
            let bounds = self.state.bounds();
            self.inbound.room.configure(spec, &bounds);
            self.state.wake_waiters();
            let or_none = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
            let previous = or_none(previous.map(|version| version.to_string()));
            let lag = or_none(lag.map(|lag| lag.to_string()));
            log::info!(
                "event=config_in_force version={} previous={previous} routes={} lag={lag} {origin}",
                config.version(),
                config.route_count()
            );
        }
    }

    /// Prepares the directory for the endpoints at a position. If the registry was restored, this
    /// starts the window in which endpoints whose entries were lost register again.
    ///
    /// `source` is the sender of the position. Returns true if the position belongs to a later
    /// era than the directory.
    pub(crate) fn begin_era(&self, position: HistoryPosition, source: &'static str) -> bool {
        let mut directory = self.state.directory.borrow_mut();
        let previous = directory.listed_position();
        if position.era <= previous.era {
            return false;
        }
        if self.state.age().is_none() {
            return false;
        }
        directory.keep_missing_until(self.state.clock.now() + REREGISTRATION_WINDOW);
        self.state.metrics.record_registry_restore(source);
        log::warn!(
            "event=registry_restored position={position} previous={previous} source={source} \
             cause=\"era {} follows era {}\"",
            position.era,
            previous.era
        );
        true
    }

    /// Records that the configuration and the endpoints reflect the registry up to a position.
    pub(crate) fn advance(&self, position: HistoryPosition) {
        self.state.directory.borrow_mut().advance(position);
    }

    /// Records that the endpoints reflect the registry up to a position.
    pub(crate) fn record_listing(&self, position: HistoryPosition) {
        self.state.directory.borrow_mut().record_listing(position);
    }

    /// Records that the endpoints were replaced by a full list that reflects a position.
    pub(crate) fn record_full_listing(&self, position: HistoryPosition) {
        let mut directory = self.state.directory.borrow_mut();
        directory.record_full_listing(position);
    }

    /// Applies the changes returned by a registry read.
    ///
    /// Another node may have sent a view since the read was requested. If that view is of a later
    /// position, only what the operator has changed is applied.
    pub(crate) fn apply(&self, read: RegistryRead) {
        let now = self.state.clock.now();
        let known = self.state.directory.borrow().listed_position();
        if read.position < known {
            let position = self.state.directory.borrow().position();
            if read.position > position {
                self.apply_operator_changes(read.changes);
            }
            return;
        }
        let mut events = Vec::new();
        let mut listed = HashSet::new();
        for change in read.changes {
            let mut directory = self.state.directory.borrow_mut();
            match change {
                RegistryChange::Config(_) | RegistryChange::Evacuation(..) => {
                    drop(directory);
                    self.apply_operator_change(change);
                }
                RegistryChange::Endpoint(record) => {
                    listed.insert(record.id.clone());
                    events.extend(directory.upsert(now, record));
                }
                RegistryChange::EndpointRemoved(id) => events.extend(directory.remove(now, &id)),
            }
        }
        let mut directory = self.state.directory.borrow_mut();
        if read.is_snapshot {
            events.extend(directory.retain(now, &listed));
        }
        directory.record_seen(read.last_position);
        drop(directory);
        self.handle_events(events);
    }

    /// Applies the changes that the operator has made, in the order of the history.
    pub(crate) fn apply_operator_changes(&self, changes: Vec<RegistryChange>) {
        for change in changes {
            self.apply_operator_change(change);
        }
    }

    fn apply_operator_change(&self, change: RegistryChange) {
        match change {
            RegistryChange::Config(config) => self.install(&config, ConfigOrigin::Registry),
            RegistryChange::Evacuation(zone, is_evacuated) => {
                let now = self.state.clock.now();
                let mut evacuations = self.state.evacuations.borrow_mut();
                let change = evacuations.set(now, zone, is_evacuated);
                drop(evacuations);
                self.handle_evacuations(&change);
            }
            RegistryChange::Endpoint(_) | RegistryChange::EndpointRemoved(_) => {}
        }
    }

    /// Removes endpoints that did not register again after a registry outage.
    pub(crate) fn expire(&self) {
        let now = self.state.clock.now();
        let events = self.state.directory.borrow_mut().expire(now);
        self.handle_events(events);
    }

    fn handle_events(&self, events: Vec<DirectoryEvent>) {
        for event in events {
            let id = event.endpoint();
            self.state.metrics.record_endpoint_event(event.name());
            log::info!("event=endpoint_{} endpoint={id}", event.name());
            match &event {
                DirectoryEvent::Ready(id) => self.on_endpoint_ready(id),
                DirectoryEvent::Draining(id) => self.reject_queued_requests(id),
                DirectoryEvent::Cold(id) => self.on_endpoint_cold(id),
                DirectoryEvent::Missing(_) => {}
                DirectoryEvent::Gone(id) => {
                    self.dispatcher.balancer.endpoints.borrow_mut().remove(id);
                    self.reject_queued_requests(id);
                }
            }
        }
    }

    /// Resets the client and the slot capacity if the endpoint is the node's local endpoint.
    fn on_endpoint_ready(&self, id: &EndpointId) {
        let directory = self.state.directory.borrow();
        let Some(record) = directory.record(id) else {
            return;
        };
        if record.address == self.inbound.client.address() {
            self.inbound.client.reset();
            self.inbound.pacer.begin_incarnation(id, record.born);
            self.inbound.slots.set_capacity(record.capacity as usize);
            self.inbound.room.suspect("registered");
        }
    }

    /// Has the local endpoint checked if the registry reports that it is cold.
    fn on_endpoint_cold(&self, id: &EndpointId) {
        let directory = self.state.directory.borrow();
        let local_address = self.inbound.client.address();
        let record = directory.record(id);
        if record.is_some_and(|record| record.address == local_address) {
            self.inbound.room.suspect("reported by the registry");
        }
    }

    /// Rejects queued requests if the unavailable endpoint is the local one and no other endpoint
    /// has taken its address.
    fn reject_queued_requests(&self, id: &EndpointId) {
        let directory = self.state.directory.borrow();
        let local_address = self.inbound.client.address();
        let has_successor = directory
            .records()
            .any(|record| record.address == local_address && record.id != *id);
        let is_local = directory
            .record(id)
            .is_none_or(|record| record.address == local_address);
        drop(directory);
        if is_local && !has_successor {
            self.inbound.slots.reject_waiting();
        }
    }
}
