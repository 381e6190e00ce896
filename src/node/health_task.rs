use std::rc::Rc;

use monoio::time;

use crate::backend::{BackendHealth, BackendServer};
use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::node::{ControlEvent, SharedState};

/// Consecutive failed health checks after which the backend server counts as unavailable.
const FAILURE_LIMIT: u32 = 3;

/// Checks the health of the backend server, and reports it as unusable while it drains or is
/// unavailable. The node then announces itself as leaving.
pub(crate) async fn watch_health(
    backend: Rc<dyn BackendServer>,
    shared: Rc<SharedState>,
    interval: ClockTime,
    stop: StopSignal,
) {
    let mut failures = 0;
    let mut usable = true;
    while !stop.is_triggered() {
        match backend.health().await {
            Ok(BackendHealth::Ready | BackendHealth::Starting) => failures = 0,
            Ok(BackendHealth::Draining) => failures = FAILURE_LIMIT,
            // A single failure is not conclusive: health endpoints respond late under load.
            Err(_) => failures = FAILURE_LIMIT.min(failures + 1),
        }
        let now_usable = failures < FAILURE_LIMIT;
        if now_usable != usable {
            usable = now_usable;
            log::info!("event=backend_health usable={usable}");
            shared.send_event(ControlEvent::BackendUsable { usable });
        }
        let _ = time::timeout(interval.to_duration(), stop.wait()).await;
    }
}
