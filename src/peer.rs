//! The protocol between nodes: h2 streams with bincode frames.

mod call_header;
mod call_reply;
mod control_link;
mod control_message;
mod fence_message;
mod peer_caller;
mod peer_handler;

pub use call_header::CallHeader;
pub use call_reply::CallReply;
pub use control_link::ControlLink;
pub use control_message::{ControlMessage, NodeHello, PieceBlob, VersionDelta};
pub use fence_message::{FenceReply, FenceRequest};
pub use peer_caller::PeerCaller;
pub use peer_handler::PeerHandler;
