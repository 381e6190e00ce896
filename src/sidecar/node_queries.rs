//! Requests for the views of other nodes by the synchronization task.

use std::net::IpAddr;

use rand::seq::{IteratorRandom, SliceRandom};
use smallvec::SmallVec;

use crate::clock::ClockTime;
use crate::config_relay::LinkReport;
use crate::mesh::RegistryChange;
use crate::sidecar::mesh_sync_task::MeshSyncTask;
use crate::sidecar::refresh_plan;
use crate::sidecar::view_message::{ViewReply, ViewRequest};
use crate::sidecar::view_origin::ViewOrigin;
use crate::sidecar::view_time;

/// Number of nodes on the first page of the list of endpoints that a starting node asks.
const INTRODUCED_NODE_COUNT: usize = 2;
/// Age, in refresh intervals, up to which a starting node takes the view of another one while the
/// registry responds.
const MAX_FIRST_AGE_INTERVALS: f64 = 2.0;
/// Time that a node has to obtain its first configuration, which it may have to read from the
/// registry.
const INITIAL_CONFIG_WAIT: ClockTime = ClockTime(1_000);
/// Time, in refresh intervals, that a node with a fast link has to read the configuration and to reply,
/// in addition to the transfer. The reader then still has more than half of the bound left.
const RELAY_WAIT_INTERVALS: f64 = 0.5;
/// Age of the view, in refresh intervals, up to which another node may wait before it responds.
const MAX_WAIT_INTERVALS: f64 = 3.0;

impl MeshSyncTask {
    /// Returns the node with the freshest view, if it is fresher than this node's and not in
    /// `waiting`.
    pub(crate) fn freshest_node(&self, waiting: &[IpAddr]) -> Option<IpAddr> {
        let fresh_peers = self.state.fresh_peers.borrow();
        let mut fresher = fresh_peers.fresher_than(self.state.read_at());
        fresher.find(|address| !waiting.contains(address))
    }

    /// Returns a random node that is not in `asked`, of the node's own region or of all regions.
    pub(crate) fn random_node(&self, asked: &[IpAddr], is_far: bool) -> Option<IpAddr> {
        let local_ip = self.settings.endpoint.ip();
        let directory = self.state.directory.borrow();
        let regions = &self.settings.regions;
        let region = regions.get(&self.settings.zone);
        let is_candidate = |zone| is_far || regions.get(zone) == region;
        let known = directory
            .records()
            .filter(|record| is_candidate(&record.zone));
        let known = known.map(|record| record.address.ip());
        let seeds = self.settings.seeds.iter().copied();
        known
            .chain(seeds)
            .filter(|address| *address != local_ip && !asked.contains(address))
            .choose(&mut rand::rng())
    }

    /// Returns a random node of another region.
    pub(crate) fn random_far_node(&self) -> Option<IpAddr> {
        let directory = self.state.directory.borrow();
        let regions = &self.settings.regions;
        let region = regions.get(&self.settings.zone);
        let records = directory.records();
        let far = records.filter(|record| regions.get(&record.zone) != region);
        let addresses = far.map(|record| record.address.ip());
        addresses.choose(&mut rand::rng())
    }

    /// Returns random nodes on the first page of the list of endpoints, those of the same region
    /// first.
    pub(crate) fn introduced_nodes(&self) -> SmallVec<[IpAddr; 2]> {
        let first_page = self.first_page.borrow();
        let Some((_, read)) = first_page.as_ref() else {
            return SmallVec::new();
        };
        let local_ip = self.settings.endpoint.ip();
        let regions = &self.settings.regions;
        let region = regions.get(&self.settings.zone);
        let mut nodes: Vec<(bool, IpAddr)> = read
            .changes
            .iter()
            .filter_map(|change| match change {
                RegistryChange::Endpoint(record) => Some(record),
                _ => None,
            })
            .map(|record| (regions.get(&record.zone) != region, record.address.ip()))
            .filter(|(_, address)| *address != local_ip)
            .collect();
        nodes.shuffle(&mut rand::rng());
        nodes.sort_by_key(|(is_far, _)| *is_far);
        nodes.truncate(INTRODUCED_NODE_COUNT);
        nodes.into_iter().map(|(_, address)| address).collect()
    }

    /// Requests the view of a node and applies it.
    pub(crate) async fn query_node(&self, address: IpAddr) -> std::result::Result<(), ()> {
        let wait = match self.pending_config_read.get() {
            Some(_) => INITIAL_CONFIG_WAIT,
            None if self.first_page.borrow().is_some() => {
                self.intervals(refresh_plan::START_SPREAD_INTERVALS)
            }
            None => self.remaining_wait(),
        };
        self.request_view(address, wait, false).await
    }

    /// Has a node with a fast link read the configuration, and applies its view.
    pub(crate) async fn query_relay(&self, relay: &LinkReport) -> std::result::Result<(), ()> {
        let wait = relay.transfer_time + self.intervals(RELAY_WAIT_INTERVALS);
        let wanted = self.state.directory.borrow().listed_position();
        let result = self.request_view(relay.node, wait, true).await;
        if self.state.directory.borrow().position() >= wanted {
            return result;
        }
        self.state.links.borrow_mut().remove(relay.node);
        log::info!(
            "event=config_relay_failed node={} transfer_time={}",
            relay.node,
            relay.transfer_time
        );
        Err(())
    }

    async fn request_view(
        &self,
        address: IpAddr,
        wait: ClockTime,
        wants_config: bool,
    ) -> std::result::Result<(), ()> {
        let request = ViewRequest {
            sender: self.settings.endpoint.ip(),
            cursor: self.cursors.borrow().get(&address).copied(),
            position: self.state.directory.borrow().listed_position(),
            version: self.state.config().map(|config| config.version()),
            age: self.state.age().unwrap_or(ClockTime(u64::MAX)),
            wait,
            wants_config,
            links: self.link_reports(),
        };
        let previous = self.state.view_progress();
        let sent_at = self.state.clock.now();
        let metrics = &self.state.metrics;
        match self.views.fetch(address, &request).await {
            Ok(reply) => {
                self.apply_reply(address, sent_at, reply);
                // A reply that brings nothing new counts as a failure, so that all sources are queried
                // next.
                if self.state.view_progress() > previous {
                    metrics.record_view_query("fresher");
                    Ok(())
                } else {
                    metrics.record_view_query("not_fresher");
                    Err(())
                }
            }
            Err(error) => {
                metrics.record_view_query("failed");
                self.state.fresh_peers.borrow_mut().remove(address);
                log::info!("event=view_source_lost node={address} cause=\"{error}\"");
                Err(())
            }
        }
    }

    /// Returns the fastest links that this node knows of, its own included.
    fn link_reports(&self) -> SmallVec<[LinkReport; 3]> {
        let now = self.state.clock.now();
        let mut links = self.state.links.borrow_mut();
        let mut reports: SmallVec<[LinkReport; 3]> =
            links.reports(now, self.interval()).into_iter().collect();
        let local_ip = self.settings.endpoint.ip();
        reports.retain(|report| report.node != local_ip);
        reports.push(LinkReport {
            node: local_ip,
            transfer_time: self.settings.registry_transfer_time,
            age: ClockTime(0),
        });
        reports
    }

    /// Applies the view of another node unless the local view is newer.
    fn apply_reply(&self, address: IpAddr, sent_at: ClockTime, reply: ViewReply) {
        let Some(age) = reply.age else {
            return;
        };
        let read_at = view_time::earliest_read_time(sent_at, reply.held, age);
        let mut fresh_peers = self.state.fresh_peers.borrow_mut();
        let listed_era = reply.listed_position.era;
        if listed_era < self.state.read_mark().0 {
            fresh_peers.remove(address);
        } else {
            fresh_peers.record(address, read_at);
        }
        drop(fresh_peers);
        let max_age = self.intervals(MAX_FIRST_AGE_INTERVALS);
        let is_start = self.state.age().is_none() && self.failures.get() == 0;
        if is_start && age > max_age {
            return;
        }
        let updated = reply.config.as_ref().map_or(Ok(()), |compressed| {
            self.updater.update_config(address, compressed)
        });
        if let Err(error) = updated {
            // The view stays unconfirmed, so the configuration is requested again.
            log::error!("event=config_refused node={address} cause=\"{error}\"");
            return;
        }
        let installed = self.state.config().map(|config| config.version());
        if installed < reply.version {
            log::warn!("event=config_not_received node={address}");
            return;
        }
        let config_read_at = reply.config_age.map_or(ClockTime(0), |config_age| {
            view_time::earliest_read_time(sent_at, reply.held, config_age)
        });
        let pending = self.pending_config_read.get();
        if pending.is_some_and(|pending| reply.position.era < pending.position.era) {
            // The configuration may be older than that of the era of the endpoints.
            return;
        }
        let era = reply.position.era;
        if let Some(pending) = pending.filter(|pending| reply.position < pending.position) {
            // The local endpoint list is newer; only the configuration was missing. Watching
            // resumes at the older position, which the configuration reflects.
            self.updater.replace_evacuations(reply.evacuated);
            self.updater.advance(reply.position);
            self.position.set(Some(reply.position));
            self.pending_config_read.set(None);
            let read_at = pending.started_at.min(read_at);
            self.state.confirm_config(era, config_read_at);
            self.state
                .mark_fresh(era, read_at, ViewOrigin::Node(address));
            return;
        }
        let directory = self.state.directory.borrow();
        let (known, seen) = (directory.position(), directory.seen_position());
        drop(directory);
        // Either the endpoints or the configuration of the reply may be older than those of this node.
        let has_endpoints = reply.listed_position >= seen;
        let cursor = reply.cursor;
        if has_endpoints {
            self.updater.merge_view(reply);
            self.cursors.borrow_mut().insert(address, cursor);
            self.pending_config_read.set(None);
            self.first_page.take();
        } else if reply.position > known {
            self.updater.replace_evacuations(reply.evacuated);
            self.updater.advance(reply.position);
        }
        if has_endpoints || self.position.get().is_some() {
            let position = self.state.directory.borrow().position();
            self.position.set(Some(position));
        }
        self.clear_lagging_config();
        self.state.confirm_config(era, config_read_at);
        if has_endpoints {
            self.state
                .mark_fresh(listed_era, read_at, ViewOrigin::Node(address));
        }
    }

    /// Returns how long another node may wait for a fresher view than this node's.
    fn remaining_wait(&self) -> ClockTime {
        let age = self.state.age().unwrap_or_default();
        (self.intervals(MAX_WAIT_INTERVALS) - age).max(self.intervals(0.5))
    }
}
