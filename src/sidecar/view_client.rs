use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bytes::Bytes;
use monoio::time;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::PeerPool;
use crate::sidecar::forward_handler::VIEW_PATH;
use crate::sidecar::view_message::{VIEW_LIMIT, ViewCodec, ViewReply, ViewRequest};

/// Time for the reply of another node to arrive, in addition to the requested wait.
const REPLY_MARGIN: ClockTime = ClockTime(250);
/// Time for a reply with a full configuration to arrive: about 100 KB to each of several nodes over
/// a link of a few Mbit/s.
const SNAPSHOT_MARGIN: ClockTime = ClockTime(1_500);

/// Client that requests the mesh views of other nodes.
pub(crate) struct ViewClient {
    pub(crate) pool: Rc<PeerPool>,
    /// Peer port, which is the same on all nodes.
    pub(crate) port: u16,
}

impl ViewClient {
    /// Requests the view of one node.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` or `ConnectionLost` if the node does not reply in time.
    pub(crate) async fn fetch(&self, node: IpAddr, request: &ViewRequest) -> Result<ViewReply> {
        let to = NodeAddress(SocketAddr::new(node, self.port));
        let head = ViewCodec::encode(request)?;
        let needs_snapshot = request.version.is_none();
        let limit = request.wait
            + if needs_snapshot {
                SNAPSHOT_MARGIN
            } else {
                REPLY_MARGIN
            };
        let exchange =
            self.pool
                .request::<ViewReply, VIEW_LIMIT>(to, VIEW_PATH, head, Bytes::new());
        let (reply, _) = time::timeout(limit.to_duration(), exchange)
            .await
            .map_err(|_| {
                Error::new(
                    ResultCode::PeerUnreachable,
                    format!("node did not send its view within {limit}"),
                )
            })??;
        Ok(reply)
    }
}
