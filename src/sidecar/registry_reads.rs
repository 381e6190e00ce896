//! Reading of the registry by the synchronization task.

use crate::error::{Result, ResultCode};
use crate::mesh::RegistrySource;
use crate::sidecar::config_origin::ConfigOrigin;
use crate::sidecar::mesh_sync_task::{MeshSyncTask, PendingConfigRead};
use crate::sidecar::mesh_updater;
use crate::sidecar::view_origin::ViewOrigin;
use crate::sidecar::view_time;

impl MeshSyncTask {
    /// Reads the registry and records the result.
    pub(crate) async fn read_registry(&self) -> std::result::Result<(), ()> {
        let metrics = &self.state.metrics;
        match self.try_read_registry().await {
            Ok(()) => {
                metrics.record_registry_read("ok");
                self.reader.borrow_mut().record_success();
                Ok(())
            }
            Err(error) if error.code() == ResultCode::HistoryGone => {
                metrics.record_registry_read("history_gone");
                log::info!(
                    "event=registry_history_gone position={:?}",
                    self.position.get()
                );
                self.position.set(None);
                // A full read needs no history, so this recursion ends after one step.
                Box::pin(self.read_registry()).await
            }
            Err(error) => {
                metrics.record_registry_read("failed");
                // After an outage, the changes may no longer fit into one response, so the next
                // read is a full one.
                self.position.set(None);
                self.pending_config_read.set(None);
                self.first_page.take();
                let now = self.state.clock.now();
                self.reader
                    .borrow_mut()
                    .record_failure(now, self.interval());
                if !self.registry_unreachable.replace(true) {
                    let age = self.state.age().unwrap_or_default();
                    log::warn!("event=registry_lost view_age={age} cause=\"{error}\"");
                }
                Err(())
            }
        }
    }

    /// Reads the changes since the last position, or all endpoints and then the configuration.
    ///
    /// A node without a configuration requests it from its parent first and reads it from the
    /// registry only if the parent fails.
    async fn try_read_registry(&self) -> Result<()> {
        let transfer = self.settings.registry_transfer_time;
        let source = self.adapter.registry(self.state.registry(), transfer);
        if let Some(pending) = self.pending_config_read.get() {
            return self.read_config(source.as_ref(), pending).await;
        }
        let started_at = self.state.clock.now();
        if let Some(position) = self.position.get() {
            let wait = self.watch_time();
            let read = source.watch(position, wait).await?;
            let received_at = self.state.clock.now();
            self.end_registry_outage();
            let reached = read.position;
            self.position.set(Some(reached));
            self.updater.apply(read);
            self.updater.advance(reached);
            let is_changed = reached != position;
            let read_at = view_time::watched_read_time(started_at, wait, received_at, is_changed);
            self.state.mark_fresh(read_at, ViewOrigin::Registry);
            return Ok(());
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
        self.end_registry_outage();
        let pending = PendingConfigRead {
            started_at,
            position: read.position,
        };
        self.pending_config_read.set(Some(pending));
        self.updater.apply(read);
        self.updater.record_full_listing(pending.position);
        let is_first = self.state.config().is_none() && self.failures.get() == 0;
        let neighbors = self.neighbors();
        if is_first && !neighbors.is_reader && !neighbors.parents.is_empty() {
            return Ok(());
        }
        self.read_config(source.as_ref(), pending).await
    }

    /// Ends a registry outage and starts the window in which endpoints may register again.
    ///
    /// Must be called before the first response after the outage is applied, which may lack entries
    /// that expired in the meantime. If other nodes kept the view fresh, only this node was turned
    /// away, and a missing entry was removed.
    fn end_registry_outage(&self) {
        if self.registry_unreachable.replace(false) {
            let age = self.state.age().unwrap_or_default();
            log::info!(
                "event=registry_back failures={} view_age={age}",
                self.failures.get()
            );
            if age < self.state.bounds().shortest_expiry() {
                return;
            }
            let until = self.state.clock.now() + mesh_updater::REREGISTRATION_WINDOW;
            self.state.directory.borrow_mut().keep_missing_until(until);
        }
    }

    async fn read_config(
        &self,
        source: &dyn RegistrySource,
        pending: PendingConfigRead,
    ) -> Result<()> {
        if let Some(config) = source.config().await? {
            self.updater.install(&config, ConfigOrigin::Registry);
        }
        self.updater.advance(pending.position);
        self.position.set(Some(pending.position));
        self.pending_config_read.set(None);
        self.state
            .mark_fresh(pending.started_at, ViewOrigin::Registry);
        Ok(())
    }
}
