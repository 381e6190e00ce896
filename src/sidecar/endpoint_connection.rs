use crate::caller::WireStream;
use crate::sidecar::refused_requests::RefusedRequests;

/// Connection to the endpoint.
pub(crate) struct EndpointConnection {
    pub(crate) stream: WireStream,
    /// Whether the connection has carried an earlier request, to which late bytes may belong.
    pub(crate) is_reused: bool,
    pub(crate) refused: RefusedRequests,
}

impl EndpointConnection {
    pub(crate) fn new(stream: WireStream) -> Self {
        Self {
            stream,
            is_reused: false,
            refused: RefusedRequests::default(),
        }
    }
}
