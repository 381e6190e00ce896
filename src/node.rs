//! Node process: startup, call handling, control task and graceful shutdown.

mod admin_pages;
mod backend_run;
mod call_router;
mod call_sender;
mod control_event;
mod control_task;
mod endpoint_selector;
mod endpoint_service;
mod health_task;
mod idempotent_call;
mod key_guard;
mod link_id_allocator;
mod link_table;
mod link_task;
mod node_context;
mod node_exit;
mod node_runtime;
mod once_call;
mod peer_service;
mod resolved_call;
mod shared_state;
mod signal_listener;
mod slot_limiter;
mod task_group;

use crate::error::Result;
use crate::event_loop;
use crate::logging;
use crate::settings::NodeSettings;

pub use node_exit::NodeExit;

use admin_pages::AdminPages;
use backend_run::BackendRun;
use call_router::CallRouter;
use call_sender::{CallSender, TimedResponse};
use control_event::{ControlEvent, LinkHandle};
use control_task::ControlTask;
use endpoint_selector::EndpointSelector;
use endpoint_service::EndpointService;
use key_guard::KeyGuard;
use link_id_allocator::LinkIdAllocator;
use link_table::LinkTable;
use node_context::NodeContext;
use node_runtime::NodeRuntime;
use peer_service::PeerService;
use resolved_call::{AttemptKey, ResolvedCall};
use shared_state::SharedState;
pub(crate) use signal_listener::SignalListener;
use slot_limiter::{SlotGuard, SlotLimiter};
pub(crate) use task_group::TaskGroup;

/// Runs a node until SIGTERM or SIGINT.
///
/// Prints a line that starts with `ready` on standard output once every listener is bound. Whether
/// the node serves calls is reported by `/readyz` on its admin address.
///
/// # Errors
///
/// Returns `SettingsOutOfRange` if an address cannot be bound. No task is left running in that
/// case.
pub fn run(settings: NodeSettings) -> Result<NodeExit> {
    logging::init(settings.log_level)?;
    let signals = SignalListener::new()?;
    event_loop::run(async {
        let listen = settings.listen.clone();
        let node = NodeRuntime::start(settings)?;
        println!(
            "ready caller={} peer={} admin={}",
            listen.caller, listen.peer, listen.admin
        );
        Ok(node.run(&signals).await)
    })?
}
