//! Entry point that runs a node until SIGTERM.

use std::rc::Rc;

use crate::error::Result;
use crate::event_loop;
use crate::node::SignalListener;
use crate::sidecar::running_node::RunningNode;
use crate::sidecar::{PlatformAdapter, SidecarSettings};

/// Loads the settings and runs a node until SIGTERM.
///
/// # Errors
///
/// A settings code if they are invalid; `SettingsOutOfRange` if an address cannot be bound or the
/// event loop cannot be started.
pub fn run(adapter: Rc<dyn PlatformAdapter>) -> Result<()> {
    let settings = Rc::new(adapter.load_settings()?);
    event_loop::run(serve(settings, adapter))?
}

async fn serve(settings: Rc<SidecarSettings>, adapter: Rc<dyn PlatformAdapter>) -> Result<()> {
    let watch = SignalListener::new()?;
    let node = RunningNode::start(settings, adapter)?;
    watch.wait().await;
    node.stop().await;
    Ok(())
}
