use std::rc::Rc;

use futures_channel::mpsc;

use crate::error::Result;
use crate::id::NodeAddress;
use crate::peer::{ByteCounter, ControlMessage};
use crate::platform::{ConfigRead, InstanceList};
use crate::version::VersionStamp;

/// An event sent to the control task by other tasks.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// A peer has a newer version of the manifest.
    StampSeen {
        from: NodeAddress,
        stamp: VersionStamp,
    },
    /// A call could not reach a peer.
    Unreachable { peer: NodeAddress },
    /// The process was paused; [`SharedState::take_pause`](crate::node::SharedState::take_pause)
    /// returns the length of the pause.
    Paused,
    /// The backend server started or stopped accepting calls.
    BackendUsable { usable: bool },
    /// A control link was established.
    LinkUp(LinkHandle),
    /// A message arrived on a control link.
    LinkMessage {
        link_id: u64,
        peer: NodeAddress,
        message: ControlMessage,
    },
    /// A control link was closed or could not be opened.
    LinkDown { link_id: u64, peer: NodeAddress },
    /// A read of the manifest from the configuration service completed.
    ManifestRead(Result<ConfigRead>),
    /// A read of the instance list completed.
    InstancesRead(Result<Option<InstanceList>>),
    /// The node shuts down and must announce that it leaves.
    Leave,
    /// The control task must end.
    Stop,
}

/// The sending side of an established control link. Dropping it closes the link.
#[derive(Debug)]
pub(crate) struct LinkHandle {
    pub(crate) link_id: u64,
    pub(crate) peer: NodeAddress,
    pub(crate) opened_locally: bool,
    pub(crate) send_queue: mpsc::Sender<ControlMessage>,
    pub(crate) counter: Rc<ByteCounter>,
}
