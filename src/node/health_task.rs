use std::rc::Rc;

use monoio::time;

use crate::backend::{BackendHealth, BackendServer};
use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::node::{ControlEvent, SharedState};

/// Failed health checks in a row after which the backend server counts as gone.
const FAILURE_LIMIT: u32 = 3;

/// Watches the backend server and announces the node as leaving while it drains or is gone.
pub(crate) async fn watch_health(
    backend: Rc<dyn BackendServer>,
    shared: Rc<SharedState>,
    interval: ClockTime,
    stop: StopSignal,
) {
    let mut failures = 0;
    let mut usable = true;
    while !stop.is_given() {
        match backend.health().await {
            Ok(BackendHealth::Ready | BackendHealth::Starting) => failures = 0,
            Ok(BackendHealth::Draining) => failures = FAILURE_LIMIT,
            // One lost response says nothing: health endpoints lag under load.
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
