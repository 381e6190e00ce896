use std::sync::Arc;

use crate::clock::ClockTime;
use crate::error::Error;
use crate::id::NodeAddress;
use crate::manifest::Manifest;
use crate::peer::ControlMessage;

/// Lists what the node is to do, in order.
pub type Actions = Vec<ControlAction>;

/// States one thing that the node is to do.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Sends a message on the link to a peer.
    Send {
        /// Peer.
        to: NodeAddress,
        /// Message.
        message: ControlMessage,
    },
    /// Opens a link; the result is reported with `on_link_up` or `on_link_down`.
    Open {
        /// Peer.
        to: NodeAddress,
    },
    /// Closes a link or gives up opening it.
    Close {
        /// Peer.
        to: NodeAddress,
    },
    /// Reads the manifest; the result is reported with `on_manifest_read`.
    ReadManifest {
        /// Revision already read.
        after: Option<u64>,
        /// Time to wait for another revision.
        wait: ClockTime,
    },
    /// Reads the instance list; the result is reported with `on_instances_read`.
    ReadInstances {
        /// Revision already read.
        after: Option<u64>,
        /// Time to wait for another revision.
        wait: ClockTime,
    },
    /// Puts a version in force.
    Install(Arc<Manifest>),
    /// Takes a new snapshot of the member table for the call side.
    MembersChanged,
    /// Reports that the node became ready or is no longer ready.
    ReadyChanged(bool),
    /// Writes a log line.
    Log {
        /// Level.
        level: log::Level,
        /// Code and message.
        error: Error,
    },
}
