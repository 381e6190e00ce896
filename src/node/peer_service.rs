use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};

use crate::node::{EndpointService, LinkIdAllocator, SharedState, link_task};
use crate::peer::{
    CallHeader, CallResponseHeader, ControlLink, FenceRequest, FenceResponse, PeerHandler,
};

/// Handler of calls, fence requests and control links from other nodes.
pub(crate) struct PeerService {
    pub(crate) endpoint: Rc<EndpointService>,
    pub(crate) shared: Rc<SharedState>,
    pub(crate) link_ids: Rc<LinkIdAllocator>,
}

impl PeerHandler for PeerService {
    fn call(
        &self,
        header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, (CallResponseHeader, Bytes)> {
        self.endpoint.call(header, body).boxed_local()
    }

    fn fence(&self, request: FenceRequest) -> LocalBoxFuture<'_, FenceResponse> {
        let endpoint = Rc::clone(&self.endpoint);
        async move { endpoint.fence(&request) }.boxed_local()
    }

    fn control(&self, link: ControlLink) -> LocalBoxFuture<'_, ()> {
        link_task::accept_link(self.link_ids.next(), link, Rc::clone(&self.shared)).boxed_local()
    }
}
