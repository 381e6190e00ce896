use std::sync::Arc;

use bytes::Bytes;

use crate::clock::ClockTime;
use crate::id::ServiceName;
use crate::mesh::{ConfigVersion, RouteRule};
use crate::sidecar::forward_message::HeaderFields;

/// Complete client request with the route rule that matched it.
#[derive(Debug)]
pub(crate) struct OutboundRequest {
    /// Request identifier set by the client.
    pub(crate) id: String,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderFields,
    pub(crate) body: Bytes,
    /// Arrival time of the request head.
    pub(crate) arrived: ClockTime,
    /// Earlier of the client's deadline and the route's timeout.
    pub(crate) client_deadline: ClockTime,
    /// Time by which the request is answered, which a stopping node brings forward.
    pub(crate) deadline: ClockTime,
    pub(crate) rule: Arc<RouteRule>,
    /// Priority of the running request that this one is a call of, if it seems to be one.
    pub(crate) parent_priority: Option<u8>,
    /// Target service picked from the rule.
    pub(crate) service: ServiceName,
    /// Version of the configuration that contains the rule.
    pub(crate) version: ConfigVersion,
}
