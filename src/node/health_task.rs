use std::rc::Rc;

use monoio::time;

use crate::backend::{BackendHealth, BackendServer};
use crate::caller::StopSignal;
use crate::clock::ClockTime;
use crate::node::{ControlEvent, NodeView};

/// Failed health checks in a row after which the backend server counts as gone.
const FAILURE_LIMIT: u32 = 3;

/// Watches the backend server and announces the node as leaving while it drains or is gone.
pub(crate) async fn watch_health(
    backend: Rc<dyn BackendServer>,
    view: Rc<NodeView>,
    interval: ClockTime,
    stop: StopSignal,
) {
    let mut failures = 0;
    let mut usable = true;
    while !stop.is_triggered() {
        match backend.health().await {
            Ok(BackendHealth::Ready | BackendHealth::Starting) => failures = 0,
            Ok(BackendHealth::Draining) => failures = FAILURE_LIMIT,
            // One lost answer says nothing: health endpoints lag under load.
            Err(_) => failures = FAILURE_LIMIT.min(failures + 1),
        }
        let now_usable = failures < FAILURE_LIMIT;
        if now_usable != usable {
            usable = now_usable;
            log::info!("event=backend_health usable={usable}");
            view.send(ControlEvent::BackendUsable { usable });
        }
        let _ = time::timeout(interval.to_duration(), stop.wait()).await;
    }
}
