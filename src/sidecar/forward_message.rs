use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{EndpointId, ServiceName};
use crate::memory::MemoryClaim;
use crate::peer::FrameCodec;
use crate::rate_limit::{LimitReport, RequestRate};
use crate::sidecar::RemoteTime;
use crate::sidecar::call_id::CallId;

/// Maximum size of the header of a forwarded request or its response.
pub(crate) const MAX_FORWARD_HEADER_BYTES: usize = 1 << 20;

/// Codec for the headers of forwarded requests and their responses.
pub(crate) type ForwardCodec = FrameCodec<MAX_FORWARD_HEADER_BYTES>;

/// HTTP header fields in their original order.
pub(crate) type HeaderFields = Vec<(String, Vec<u8>)>;

/// Header of a request forwarded to the node that serves an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardRequestHeader {
    pub(crate) call: CallId,
    /// The only endpoint that may run the request.
    pub(crate) endpoint: EndpointId,
    /// Start of its incarnation in milliseconds since the Unix epoch.
    pub(crate) endpoint_born: u64,
    /// Request identifier set by the client.
    pub(crate) request_id: String,
    /// Service that the request comes from.
    pub(crate) caller: ServiceName,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderFields,
    pub(crate) body_length: u64,
    /// Time left for the request when it was sent.
    pub(crate) remaining: ClockTime,
    /// Send time on the receiver's clock, if the sender has an estimate of it.
    pub(crate) sent_at: Option<RemoteTime>,
    /// Longest acceptable wait for a slot. If the expected wait is longer, the request is refused
    /// immediately.
    pub(crate) max_queue_wait: ClockTime,
    /// Expected processing time.
    pub(crate) work: ClockTime,
    pub(crate) priority: u8,
    /// Response time objective of the route.
    pub(crate) objective: ClockTime,
    pub(crate) idempotent: bool,
    /// Whether the request has been sent to an endpoint before.
    pub(crate) repeated: bool,
    /// Whether an endpoint has closed its connection while it worked on the request.
    pub(crate) follows_loss: bool,
    /// Whether the request is a call of one that already runs.
    pub(crate) holds_work: bool,
    /// Limit that the endpoint has advertised to the sender.
    pub(crate) known_limit: Option<RequestRate>,
    /// Whether the request may be served in few regions.
    pub(crate) has_homes: bool,
}

/// Request for the result of a forwarded request whose connection was lost.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ResumeHeader {
    pub(crate) call: CallId,
    /// Time since the request was sent.
    pub(crate) age: ClockTime,
}

/// Result of a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ForwardOutcome {
    /// The endpoint returned a complete response.
    Completed { status: u16, headers: HeaderFields },
    /// The endpoint has not run the request and never will.
    NotRun {
        code: ResultCode,
        /// Whether the endpoint itself refused the request.
        reached_endpoint: bool,
        /// Expected wait for a slot, after which a retry is worthwhile.
        wait: ClockTime,
    },
    /// It is unknown whether the endpoint ran the request.
    Unknown { code: ResultCode },
}

/// Load of an endpoint at the time of a response.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Number of running and queued requests.
    pub(crate) outstanding: u32,
    /// Number of slots.
    pub(crate) capacity: u32,
    /// Mean time in ms for which a request holds a slot.
    pub(crate) mean_hold_ms: f32,
    /// Ratio of the time that the endpoint takes to that of the mean endpoint; 0 if it is not known.
    pub(crate) slowness: f32,
    /// Requests per second that may start; 0 if their rate is not limited.
    pub(crate) pace: f32,
    /// Time in ms until the rate lets a further request start.
    pub(crate) pace_wait_ms: f32,
    /// Limit that the endpoint advertises.
    pub(crate) limit: LimitReport,
    /// Recent share of refused requests among those that may be served in few regions only.
    pub(crate) scarcity: f32,
}

/// Header of the response to a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardResponseHeader {
    pub(crate) outcome: ForwardOutcome,
    pub(crate) load: LoadReport,
    /// Whether the endpoint has said that it shuts down.
    pub(crate) is_leaving: bool,
    /// Time from the arrival of the request at the node to the response.
    pub(crate) elapsed: ClockTime,
    /// Time of the response on the clock of the responding node.
    pub(crate) responded_at: RemoteTime,
    /// Age of the responding node's view of the mesh; `None` if it has never been synchronized.
    pub(crate) view_age: Option<ClockTime>,
    /// Time spent by the endpoint on the request, if it was sent to the endpoint.
    pub(crate) worked: Option<ClockTime>,
    pub(crate) body_length: u64,
}

/// Response to a forwarded request.
#[derive(Debug, Clone)]
pub(crate) struct ForwardResponse {
    pub(crate) header: ForwardResponseHeader,
    pub(crate) body: Bytes,
    /// Memory of the body.
    pub(crate) claim: Option<Rc<MemoryClaim>>,
}
