use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::reload_signal::ReloadSignal;
use crate::sidecar::{PlatformAdapter, SidecarSettings};

/// Interval at which the reload signal is checked.
const SIGNAL_CHECK_INTERVAL: ClockTime = ClockTime(100);
/// Number of signal checks after which the file is read even without a signal, because it may be
/// changed without one.
const FILE_READ_CHECK_COUNT: u32 = 20;

/// Task that applies changed settings while the node runs.
pub(crate) struct ReloadTask {
    pub(crate) adapter: Rc<dyn PlatformAdapter>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) signal: ReloadSignal,
    pub(crate) initial_settings: Rc<SidecarSettings>,
}

impl ReloadTask {
    /// Checks for changed settings until the stop signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let mut checks = 0;
        loop {
            let pause = pin!(time::sleep(SIGNAL_CHECK_INTERVAL.to_duration()));
            let stopped = pin!(stop.wait());
            if let Either::Right(_) = future::select(pause, stopped).await {
                return;
            }
            checks += 1;
            let signaled = self.signal.take();
            if signaled || checks >= FILE_READ_CHECK_COUNT {
                checks = 0;
                self.reload(signaled);
            }
        }
    }

    fn reload(&self, signaled: bool) {
        let settings = match self.adapter.load_settings() {
            Ok(settings) => settings,
            Err(error) => {
                log::error!("event=reload signaled={signaled} outcome=refused cause=\"{error}\"");
                return;
            }
        };
        let initial = &self.initial_settings;
        let needs_restart = settings.client_listen != initial.client_listen
            || settings.peer_listen != initial.peer_listen
            || settings.ready_listen != initial.ready_listen
            || settings.endpoint != initial.endpoint
            || settings.service != initial.service;
        let changed = self.state.apply_reloadable_settings(&settings);
        if signaled || changed {
            log::info!(
                "event=reload signaled={signaled} outcome=in_force changed={changed} needs_restart={needs_restart}"
            );
        }
    }
}
