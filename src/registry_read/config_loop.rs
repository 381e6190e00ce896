//! Reads of a configuration that lags behind the endpoints, by the synchronization task.

use std::pin::pin;

use futures_util::future::{self, Either};
use monoio::time;

use crate::clock::ClockTime;
use crate::config_relay::LinkReport;
use crate::error::{Result, ResultCode};
use crate::mesh::{HistoryPosition, RegistrySource};
use crate::registry_read::{ConfigLag, ReadReason, ReadTrace, config_schedule};
use crate::sidecar::config_origin::ConfigOrigin;
use crate::sidecar::mesh_sync_task::MeshSyncTask;
use crate::sidecar::view_origin::ViewOrigin;
use crate::size::ByteSize;

/// Size of the changes up to which the configuration is received with the versions between. Of larger
/// ones only the latest is read.
const CHANGES_LIMIT: ByteSize = ByteSize(64 << 10);

/// Time, in refresh intervals, between two requests to nodes of other regions during a read.
const QUERY_INTERVALS: f64 = 0.5;

impl MeshSyncTask {
    /// Reads the configuration whenever it lags behind and this node is to read it.
    ///
    /// The endpoints are refreshed meanwhile, so that those that leave do not wait for a transfer.
    pub(crate) async fn config_loop(&self) {
        let mut last_read: Option<(ClockTime, ClockTime)> = None;
        let mut failures = 0_u32;
        let mut chance = rand::random_range(0.0..1.0);
        loop {
            let refreshed = pin!(self.state.wait_for_refresh());
            match self.config_read_delay(last_read, failures, chance) {
                None => refreshed.await,
                Some(ClockTime(0)) => {
                    let started_at = self.state.clock.now();
                    let reading = pin!(self.obtain_config());
                    let asking = pin!(self.query_far_nodes());
                    let updated = pin!(self.wait_for_config());
                    let result = future::select(reading, future::select(updated, asking)).await;
                    let ended_at = self.state.clock.now();
                    let has_failed = matches!(result, Either::Left((false, _)));
                    failures = if has_failed { failures + 1 } else { 0 };
                    // A registry that refuses at once is not asked again at once.
                    let duration = match has_failed {
                        true => self.interval(),
                        false => ended_at - started_at,
                    };
                    last_read = Some((ended_at, duration));
                    chance = rand::random_range(0.0..1.0);
                }
                Some(delay) => {
                    let timer = pin!(time::sleep(delay.to_duration()));
                    future::select(refreshed, timer).await;
                }
            }
        }
    }

    fn config_read_delay(
        &self,
        last_read: Option<(ClockTime, ClockTime)>,
        failures: u32,
        chance: f64,
    ) -> Option<ClockTime> {
        let now = self.state.clock.now();
        let age = self.state.age()?;
        let neighbors = self.neighbors();
        let transfer_time = self.settings.registry_transfer_time;
        let reads_registry = self.reads_registry();
        config_schedule::config_read_delay(&ConfigLag {
            age,
            config_age: self.state.config_age()?,
            interval: self.interval(),
            known_for: self.state.config_lag(),
            is_requested: self.state.is_config_requested(),
            reads_registry,
            // Another node may have noticed first that the registry is back.
            is_paused: neighbors.is_reader && !reads_registry,
            is_standby: neighbors.is_standby,
            last_read: last_read.map(|(ended_at, duration)| (now - ended_at, duration)),
            failures,
            transfer_time: self
                .relay()
                .map_or(transfer_time, |relay| relay.transfer_time),
            region_size: neighbors.region_size,
            chance,
        })
        .filter(|_| self.position.get().is_some())
    }

    /// Waits until the configuration no longer lags behind.
    async fn wait_for_config(&self) {
        let config_age = self.state.config_age();
        loop {
            self.state.wait_for_refresh().await;
            if self.lagging_config.get().is_none() && self.state.config_age() < config_age {
                return;
            }
        }
    }

    /// Requests the views of random nodes of other regions. One that has the configuration already sends
    /// a delta, which is much smaller.
    async fn query_far_nodes(&self) {
        let limit = self.intervals(QUERY_INTERVALS).to_duration();
        loop {
            let next = pin!(time::sleep(limit));
            if let Some(address) = self.random_far_node() {
                // What the reply brings shows in the view.
                let _ = time::timeout(limit, self.query_node(address)).await;
            }
            next.await;
        }
    }

    /// Has a node with a faster link read the configuration, or reads it; returns whether that succeeded.
    async fn obtain_config(&self) -> bool {
        if let Some(relay) = self.relay().filter(|_| !self.state.is_config_requested())
            && self.query_relay(&relay).await.is_ok()
        {
            return true;
        }
        self.read_lagging_config().await
    }

    /// Returns the node that reads the configuration in place of this one.
    fn relay(&self) -> Option<LinkReport> {
        let now = self.state.clock.now();
        let transfer_time = self.settings.registry_transfer_time;
        let mut links = self.state.links.borrow_mut();
        links.relay(now, self.interval(), transfer_time)
    }

    /// Reads the configuration; returns whether that succeeded.
    async fn read_lagging_config(&self) -> bool {
        let trace = ReadTrace::new(&self.state, ReadReason::Config);
        match self.try_read_lagging_config(&trace).await {
            Ok(()) => {
                trace.finish("ok");
                true
            }
            Err(error) => {
                trace.finish("failed");
                let age = self.state.config_age().unwrap_or_default();
                log::warn!("event=config_read_failed config_age={age} cause=\"{error}\"");
                false
            }
        }
    }

    async fn try_read_lagging_config(&self, trace: &ReadTrace) -> Result<()> {
        let transfer = self.settings.registry_transfer_time;
        let source = self.adapter.registry(self.state.registry(), transfer);
        let started_at = self.state.clock.now();
        let reached = self.read_latest_config(source.as_ref(), trace).await?;
        self.check_era(reached)?;
        let listed = self.state.directory.borrow().listed_position();
        if listed < reached {
            let listed_at = self.state.clock.now();
            let read = source.watch_endpoints(listed, ClockTime(0)).await?;
            trace.add_response(read.size);
            self.check_era(read.position)?;
            let listed = read.position;
            self.apply_changes(read);
            self.updater.record_listing(listed);
            self.state
                .mark_fresh(listed.era, listed_at, ViewOrigin::Registry);
        }
        let listed = self.state.directory.borrow().listed_position();
        let position = reached.min(listed);
        self.updater.advance(position);
        self.position.set(self.position.get().max(Some(position)));
        self.clear_lagging_config();
        self.state.confirm_config(position.era, started_at);
        self.state.wake_waiters();
        Ok(())
    }

    /// Reads and installs the latest configuration; returns the position that it reflects.
    async fn read_latest_config(
        &self,
        source: &dyn RegistrySource,
        trace: &ReadTrace,
    ) -> Result<HistoryPosition> {
        let position = self.state.directory.borrow().position();
        match source.config_changes(position, CHANGES_LIMIT).await {
            Ok(Some(read)) => {
                trace.add_response(read.size);
                self.check_era(read.position)?;
                let reached = read.position;
                self.updater.apply_operator_changes(read.changes);
                return Ok(reached);
            }
            Ok(None) => {}
            Err(error) if error.code() == ResultCode::HistoryGone => {}
            Err(error) => return Err(error),
        }
        let read = source.config().await?;
        trace.add_response(read.size);
        self.check_era(read.position)?;
        if let Some(config) = read.config {
            self.updater.install(&config, ConfigOrigin::Registry);
        }
        self.updater.replace_evacuations(read.evacuated);
        Ok(read.position)
    }

    /// Records that the configuration has changed up to `position` and is still to be read.
    pub(crate) fn record_lagging_config(&self, position: HistoryPosition) {
        self.lagging_config.set(Some(position));
    }

    /// Records that the configuration no longer lags behind if the view reflects that position.
    pub(crate) fn clear_lagging_config(&self) {
        let position = self.state.directory.borrow().position();
        if self
            .lagging_config
            .get()
            .is_some_and(|lagging| position >= lagging)
        {
            self.lagging_config.set(None);
        }
    }
}
