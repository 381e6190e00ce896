use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either};
use monoio::time;

use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::sidecar::node_state::NodeState;
use crate::sidecar::reload_signal::ReloadSignal;
use crate::sidecar::{PlatformAdapter, SidecarSettings};

/// Time between two looks for a signal.
const SIGNAL_INTERVAL: ClockTime = ClockTime(100);
/// Looks for a signal after which the file is read in any case, because it may change without one.
const FILE_LOOKS: u32 = 20;

/// Puts changed settings in force while the node runs.
pub(crate) struct ReloadTask {
    pub(crate) adapter: Rc<dyn PlatformAdapter>,
    pub(crate) state: Rc<NodeState>,
    pub(crate) watch: ReloadSignal,
    pub(crate) started_with: Rc<SidecarSettings>,
}

impl ReloadTask {
    /// Watches until the signal is given.
    pub(crate) async fn run(self, stop: StopSignal) {
        let mut looks = 0;
        loop {
            let pause = pin!(time::sleep(SIGNAL_INTERVAL.to_duration()));
            let stopped = pin!(stop.wait());
            if let Either::Right(_) = future::select(pause, stopped).await {
                return;
            }
            looks += 1;
            let signaled = self.watch.take();
            if signaled || looks >= FILE_LOOKS {
                looks = 0;
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
        let held = &self.started_with;
        let fixed = settings.client_listen != held.client_listen
            || settings.peer_listen != held.peer_listen
            || settings.ready_listen != held.ready_listen
            || settings.endpoint != held.endpoint
            || settings.service != held.service;
        let changed = self.state.apply_reloadable_settings(&settings);
        if signaled || changed {
            log::info!(
                "event=reload signaled={signaled} outcome=in_force changed={changed} needs_restart={fixed}"
            );
        }
    }
}
