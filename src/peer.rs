//! Protocol between nodes: HTTP/2 streams that carry bincode frames.

mod byte_counter;
mod call_header;
mod call_response_header;
mod connection_lease;
mod connection_table;
mod control_link;
mod control_message;
mod control_receiver;
mod control_sender;
mod counted_stream;
mod fence_message;
mod frame_codec;
mod handshake_rate_limiter;
mod keepalive_config;
mod keepalive_probe;
mod peer_caller;
mod peer_connection;
mod peer_handler;
mod peer_pool;
mod peer_request;
mod peer_server;
mod peer_server_connection;
mod pinned_stream;
mod server_stream;
mod stream_handler;
pub(crate) mod stream_io;

pub use byte_counter::ByteCounter;
pub use call_header::CallHeader;
pub use call_response_header::CallResponseHeader;
pub use control_link::ControlLink;
pub use control_message::{ControlMessage, NodeHello, PieceBlob, VersionDelta};
pub use control_receiver::ControlReceiver;
pub use control_sender::ControlSender;
pub use fence_message::{FenceRequest, FenceResponse};
pub use frame_codec::{CallCodec, ControlCodec, FrameCodec};
pub use keepalive_config::KeepaliveConfig;
pub use peer_caller::PeerCaller;
pub use peer_handler::PeerHandler;
pub use peer_pool::PeerPool;
pub use peer_server::PeerServer;
pub use pinned_stream::PinnedStream;

pub(crate) use peer_request::HeldReply;
pub(crate) use stream_handler::{ShutdownSignal, StreamHandler};
