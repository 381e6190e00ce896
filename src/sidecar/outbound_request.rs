use std::sync::Arc;

use bytes::Bytes;

use crate::clock::ClockTime;
use crate::id::ServiceName;
use crate::mesh::{ConfigVersion, RouteRule};
use crate::sidecar::forward_message::HeaderFields;

/// Is a whole request of a client with the rule that it matched.
#[derive(Debug)]
pub(crate) struct OutboundRequest {
    /// Identifier that the client gave the request.
    pub(crate) id: String,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderFields,
    pub(crate) body: Bytes,
    /// Arrival of the head.
    pub(crate) arrived: ClockTime,
    /// End of the time that the client and the route allow.
    pub(crate) deadline: ClockTime,
    pub(crate) rule: Arc<RouteRule>,
    /// Service that was picked among the targets of the rule.
    pub(crate) service: ServiceName,
    /// Version of the configuration that holds the rule.
    pub(crate) version: ConfigVersion,
}
