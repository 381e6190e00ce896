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

/// Time beyond the wait that another node has for its answer.
const ANSWER_GRACE: ClockTime = ClockTime(250);
/// The same for an answer with a whole configuration: some 100 KB to each of several nodes over a
/// link of a few Mbit/s.
const WHOLE_GRACE: ClockTime = ClockTime(1_500);

/// Asks other nodes what they know of the mesh.
pub(crate) struct ViewClient {
    pub(crate) pool: Rc<PeerPool>,
    /// Port at which all nodes listen for other nodes.
    pub(crate) port: u16,
}

impl ViewClient {
    /// Asks one node.
    ///
    /// # Errors
    ///
    /// `PeerUnreachable` or `ConnectionLost` if the node does not answer in time.
    pub(crate) async fn ask(&self, node: IpAddr, request: &ViewRequest) -> Result<ViewReply> {
        let to = NodeAddress(SocketAddr::new(node, self.port));
        let head = ViewCodec::encode(request)?;
        let is_whole = request.version.is_none();
        let limit = request.wait + if is_whole { WHOLE_GRACE } else { ANSWER_GRACE };
        let asking = self
            .pool
            .request::<ViewReply, VIEW_LIMIT>(to, VIEW_PATH, head, Bytes::new());
        let (reply, _) = time::timeout(limit.to_duration(), asking)
            .await
            .map_err(|_| Error::new(ResultCode::PeerUnreachable, "no view in time"))??;
        Ok(reply)
    }
}
