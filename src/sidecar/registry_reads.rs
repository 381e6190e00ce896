//! Reading of the registry by the synchronization task.

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::mesh::{HistoryEra, HistoryPosition, RegistryRead, RegistrySource};
use crate::registry_read::{ReadReason, ReadTrace};
use crate::sidecar::config_origin::ConfigOrigin;
use crate::sidecar::mesh_sync_task::{MeshSyncTask, PendingConfigRead};
use crate::sidecar::view_origin::ViewOrigin;
use crate::sidecar::view_time;
use crate::size::ByteSize;

/// Size of changes, besides those of the endpoints, that are received together with them.
const WATCH_LIMIT_BYTES: u64 = 64 << 10;
/// Size of the changes of one endpoint, about half of which report within a refresh interval.
const ENDPOINT_CHANGE_BYTES: u64 = 256;
/// Number of full reads that are tried at once if the history was lost.
const MAX_FULL_READ_COUNT: usize = 2;

impl MeshSyncTask {
    /// Reads the registry and records the result.
    pub(crate) async fn read_registry(&self) -> std::result::Result<(), ()> {
        let trace = ReadTrace::new(&self.state, self.read_reason());
        let mut result = self.try_read_registry(&trace).await;
        for _ in 0..MAX_FULL_READ_COUNT {
            let Err(error) = &result else {
                break;
            };
            if error.code() != ResultCode::HistoryGone {
                break;
            }
            self.state.metrics.record_registry_read("history_gone");
            let listed = self.state.directory.borrow().listed_position();
            let position = self.position.get().unwrap_or(listed);
            log::info!("event=registry_history_gone position={position} cause=\"{error}\"");
            self.forget_position();
            // A full read needs no history; it fails so only if the registry is restored meanwhile.
            result = self.try_read_registry(&trace).await;
        }
        match result {
            Ok(()) => {
                trace.finish("ok");
                self.reader.borrow_mut().record_success();
                Ok(())
            }
            Err(error) => {
                trace.finish("failed");
                // The changes that a watch receives are limited, so it can be repeated. Anything else
                // may no longer arrive in time, so the next read is a full one.
                if self.position.get().is_none() || self.lagging_config.get().is_some() {
                    self.forget_position();
                }
                let now = self.state.clock.now();
                let mut reader = self.reader.borrow_mut();
                reader.record_failure(now, self.interval());
                let paused = reader.paused_for(now);
                drop(reader);
                let is_full = self.position.get().is_none();
                log::info!(
                    "event=reader_paused paused={paused} full_read_next={is_full} cause=\"{error}\""
                );
                if self.outage.borrow_mut().record_failure(now) {
                    let age = self.state.age().unwrap_or_default();
                    log::warn!("event=registry_lost view_age={age} cause=\"{error}\"");
                }
                Err(())
            }
        }
    }

    /// Returns why this node reads the registry now.
    fn read_reason(&self) -> ReadReason {
        match self.state.age() {
            None => ReadReason::Start,
            Some(_) if self.reads_registry() => ReadReason::Reader,
            Some(_) if self.neighbors().is_standby => ReadReason::Standby,
            Some(_) => ReadReason::Fallback,
        }
    }

    /// Reads the changes since the last position, or all endpoints and then the configuration.
    ///
    /// A node without a configuration requests it from its parent first and reads it from the
    /// registry only if the parent fails.
    async fn try_read_registry(&self, trace: &ReadTrace) -> Result<()> {
        let transfer = self.settings.registry_transfer_time;
        let source = self.adapter.registry(self.state.registry(), transfer);
        if let Some(pending) = self.pending_config_read.get() {
            return self.read_config(source.as_ref(), pending, trace).await;
        }
        let started_at = self.state.clock.now();
        if let Some(position) = self.position.get() {
            return self.read_changes(source.as_ref(), position, trace).await;
        }
        let known = self.first_page.take();
        let is_introduced = known.is_some();
        let (started_at, first) = match known {
            Some(known) => known,
            None => (started_at, source.first_endpoints().await?),
        };
        if self.state.age().is_none() && !is_introduced && !first.is_snapshot {
            // Another node can send the rest of the list together with the configuration.
            self.first_page.replace(Some((started_at, first)));
            return Ok(());
        }
        let read = source.all_endpoints(first).await?;
        trace.add_response(read.size);
        self.check_era(read.position)?;
        self.end_registry_outage();
        if read.position < self.state.directory.borrow().listed_position() {
            // Another node has sent a later view since the list was requested.
            return Ok(());
        }
        if self.state.age().is_none() {
            self.state.record_known_since(started_at);
        }
        self.updater.begin_era(read.position, "registry");
        let pending = PendingConfigRead {
            started_at,
            position: read.position,
        };
        self.pending_config_read.set(Some(pending));
        self.updater.apply(read);
        self.updater.record_full_listing(pending.position);
        if self.state.config().is_some() {
            let installed = self.state.directory.borrow().position();
            self.pending_config_read.set(None);
            self.position.set(Some(installed));
            self.record_lagging_config(pending.position);
            self.state
                .mark_fresh(pending.position.era, started_at, ViewOrigin::Registry);
            return Ok(());
        }
        let is_first = self.state.config().is_none() && self.failures.get() == 0;
        let neighbors = self.neighbors();
        if is_first && !neighbors.is_reader && !neighbors.parents.is_empty() {
            return Ok(());
        }
        self.read_config(source.as_ref(), pending, trace).await
    }

    /// Reads the changes since `position`, of the endpoints alone while the configuration lags behind.
    ///
    /// A response with large configurations is not received: endpoints that leave would wait for it.
    async fn read_changes(
        &self,
        source: &dyn RegistrySource,
        position: HistoryPosition,
        trace: &ReadTrace,
    ) -> Result<()> {
        let mut wait = self.watch_time();
        let mut started_at = self.state.clock.now();
        let listed = self.state.directory.borrow().listed_position();
        if position.era < listed.era && self.lagging_config.get().is_none() {
            // The registry was restored; only the endpoints are known since.
            self.record_lagging_config(listed);
        }
        if self.lagging_config.get().is_none() {
            let limit = self.watch_limit();
            if let Some(read) = source.watch(position, wait, limit).await? {
                trace.add_response(read.size);
                self.check_era(read.position)?;
                let reached = read.position;
                let read_at = self.watched_read_time(started_at, wait, reached != position);
                self.apply_changes(read);
                self.updater.advance(reached);
                self.position.set(self.position.get().max(Some(reached)));
                self.state.confirm_config(reached.era, read_at);
                self.state
                    .mark_fresh(reached.era, read_at, ViewOrigin::Registry);
                return Ok(());
            }
            (wait, started_at) = (ClockTime(0), self.state.clock.now());
        }
        let listed = self.state.directory.borrow().listed_position();
        let read = source.watch_endpoints(listed, wait).await?;
        trace.add_response(read.size);
        self.check_era(read.position)?;
        let reached = read.position;
        let read_at = self.watched_read_time(started_at, wait, reached != listed);
        self.apply_changes(read);
        self.updater.record_listing(reached);
        if self.lagging_config.get().is_none() {
            self.record_lagging_config(reached);
        }
        self.state
            .mark_fresh(reached.era, read_at, ViewOrigin::Registry);
        Ok(())
    }

    pub(crate) fn apply_changes(&self, read: RegistryRead) {
        self.end_registry_outage();
        self.updater.apply(read);
    }

    fn watched_read_time(
        &self,
        started_at: ClockTime,
        wait: ClockTime,
        is_changed: bool,
    ) -> ClockTime {
        let received_at = self.state.clock.now();
        view_time::watched_read_time(started_at, wait, received_at, is_changed)
    }

    /// Returns the size up to which changes are received together with the configuration.
    fn watch_limit(&self) -> ByteSize {
        let endpoint_count = self.state.directory.borrow().len() as u64;
        ByteSize(WATCH_LIMIT_BYTES + ENDPOINT_CHANGE_BYTES * endpoint_count)
    }

    /// Ends a registry outage and starts the window in which endpoints may register again.
    ///
    /// Must be called before the first response after the outage is applied, which may lack entries
    /// that expired in the meantime. If other nodes kept the view fresh, only this node was turned
    /// away, and a missing entry was removed.
    fn end_registry_outage(&self) {
        let Some(until) = self.outage.borrow_mut().end(self.state.clock.now()) else {
            return;
        };
        let age = self.state.age();
        log::info!(
            "event=registry_back failures={} view_age={} position={} missing_kept_until={until}",
            self.failures.get(),
            age.unwrap_or_default(),
            self.state.directory.borrow().listed_position()
        );
        // A node without a view knows no endpoints, but others learn from it how long to keep theirs.
        if age.is_none_or(|age| age >= self.state.bounds().shortest_expiry()) {
            self.state.directory.borrow_mut().keep_missing_until(until);
        }
    }

    /// Discards everything that later reads could continue from, so that the next one is a full read.
    fn forget_position(&self) {
        self.position.set(None);
        self.pending_config_read.set(None);
        self.lagging_config.set(None);
        self.first_page.take();
    }

    /// Rejects a read of an earlier era than that of the directory. Another node may have sent a view
    /// of the later era since the read was requested.
    pub(crate) fn check_era(&self, position: HistoryPosition) -> Result<()> {
        let known = self.state.directory.borrow().listed_position();
        if position.era < known.era {
            return Err(registry_restored(position.era, known.era));
        }
        Ok(())
    }

    async fn read_config(
        &self,
        source: &dyn RegistrySource,
        pending: PendingConfigRead,
        trace: &ReadTrace,
    ) -> Result<()> {
        let read = source.config().await?;
        trace.add_response(read.size);
        if read.position.era != pending.position.era {
            return Err(registry_restored(pending.position.era, read.position.era));
        }
        self.check_era(pending.position)?;
        if let Some(config) = read.config {
            self.updater.install(&config, ConfigOrigin::Registry);
        }
        self.updater.replace_evacuations(read.evacuated);
        self.updater.advance(pending.position);
        self.position.set(Some(pending.position));
        self.pending_config_read.set(None);
        let (era, read_at) = (pending.position.era, pending.started_at);
        self.state.confirm_config(era, read_at);
        self.state.mark_fresh(era, read_at, ViewOrigin::Registry);
        Ok(())
    }
}

fn registry_restored(read: HistoryEra, current: HistoryEra) -> Error {
    Error::new(
        ResultCode::HistoryGone,
        format!("the registry was restored: era {current} follows era {read}"),
    )
}
