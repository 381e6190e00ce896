use std::rc::Rc;

use futures_channel::mpsc;

use crate::error::Result;
use crate::id::NodeAddress;
use crate::peer::{ByteCounter, ControlMessage};
use crate::platform::{ConfigRead, InstanceList};
use crate::version::VersionStamp;

/// Is what other tasks tell the control task.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A peer holds a newer version.
    StampSeen {
        /// Peer.
        from: NodeAddress,
        /// Its version.
        stamp: VersionStamp,
    },
    /// A call could not reach a peer.
    Unreachable {
        /// Peer.
        peer: NodeAddress,
    },
    /// The process was paused; [`NodeView::take_pause`](crate::node::NodeView) gives the length.
    Paused,
    /// The backend server became usable or unusable.
    BackendUsable {
        /// Whether it takes work.
        usable: bool,
    },
    /// A control link came up.
    LinkUp(LinkHandle),
    /// A message arrived on a control link.
    LinkMessage {
        /// Link.
        link: u64,
        /// Peer.
        peer: NodeAddress,
        /// Message.
        message: ControlMessage,
    },
    /// A control link ended, or could not be opened.
    LinkDown {
        /// Link.
        link: u64,
        /// Peer.
        peer: NodeAddress,
    },
    /// A read of the manifest ended.
    ManifestRead(Result<ConfigRead>),
    /// A read of the instance list ended.
    InstancesRead(Result<Option<InstanceList>>),
    /// The node is to announce that it leaves.
    Leave,
    /// The task is to end.
    Stop,
}

/// Lets the control task send on a link; the link ends when it is dropped.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    pub(crate) link: u64,
    pub(crate) peer: NodeAddress,
    pub(crate) opened_here: bool,
    pub(crate) outbox: mpsc::Sender<ControlMessage>,
    pub(crate) counter: Rc<ByteCounter>,
}
