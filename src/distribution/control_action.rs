use std::sync::Arc;

use crate::clock::ClockTime;
use crate::error::Error;
use crate::id::NodeAddress;
use crate::manifest::Manifest;
use crate::peer::ControlMessage;

/// Actions for the node to perform, in order.
pub type Actions = Vec<ControlAction>;

/// An action that a [`ControlState`](crate::distribution::ControlState) requests from the node.
#[derive(Debug, Clone)]
pub enum ControlAction {
    /// Sends a message on the link to a peer.
    Send {
        /// Address of the peer.
        to: NodeAddress,
        /// Message to send.
        message: ControlMessage,
    },
    /// Opens a link to a peer; the result is reported through `on_link_up` or `on_link_down`.
    Open {
        /// Address of the peer.
        to: NodeAddress,
    },
    /// Closes the link to a peer, or cancels an attempt to open it.
    Close {
        /// Address of the peer.
        to: NodeAddress,
    },
    /// Reads the manifest; the result is reported through `on_manifest_read`.
    ReadManifest {
        /// Last revision read, if any.
        after: Option<u64>,
        /// Time to wait for a newer revision; zero returns immediately.
        wait: ClockTime,
    },
    /// Reads the instance list; the result is reported through `on_instances_read`.
    ReadInstances {
        /// Last revision read, if any.
        after: Option<u64>,
        /// Time to wait for a newer revision; zero returns immediately.
        wait: ClockTime,
    },
    /// Puts a version into force.
    Install(Arc<Manifest>),
    /// Takes a new snapshot of the member table for call routing.
    MembersChanged,
    /// Reports a change of readiness.
    ReadyChanged(bool),
    /// Writes a log record.
    Log {
        /// Severity.
        level: log::Level,
        /// Result code and message.
        error: Error,
    },
}
