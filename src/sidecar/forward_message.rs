use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::id::{EndpointId, ServiceName};
use crate::peer::FrameCodec;
use crate::sidecar::RemoteTime;
use crate::sidecar::call_id::CallId;

/// Longest head of a forwarded request or its answer, in bytes.
pub(crate) const MAX_FORWARD_HEADER_BYTES: usize = 1 << 20;

/// Codec for the heads of forwarded requests and their answers.
pub(crate) type ForwardCodec = FrameCodec<MAX_FORWARD_HEADER_BYTES>;

/// Header fields of a message in their order.
pub(crate) type HeaderFields = Vec<(String, Vec<u8>)>;

/// Heads a request that a node forwards to the node beside the endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardRequestHeader {
    pub(crate) call: CallId,
    /// Endpoint that alone may run the request.
    pub(crate) endpoint: EndpointId,
    /// Identifier that the client gave the request.
    pub(crate) request_id: String,
    /// Service beside which the request began.
    pub(crate) caller: ServiceName,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: HeaderFields,
    pub(crate) body_length: u64,
    /// Time that was left for the request when it was sent.
    pub(crate) remaining: ClockTime,
    /// Time of sending on the clock of the receiver, as far as the sender knows it.
    pub(crate) sent_at: Option<RemoteTime>,
    /// Longest wait for a slot that is worthwhile; a longer one is refused at once.
    pub(crate) max_queue_wait: ClockTime,
    /// Expected work of the request.
    pub(crate) work: ClockTime,
    pub(crate) priority: u8,
    /// Time within which an answer is on time.
    pub(crate) objective: ClockTime,
    pub(crate) idempotent: bool,
    /// Whether another endpoint has been sent the request before.
    pub(crate) repeated: bool,
}

/// Asks what became of a forwarded request whose connection was lost.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ResumeHeader {
    pub(crate) call: CallId,
    /// Time since the request was sent.
    pub(crate) age: ClockTime,
}

/// States what became of a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ForwardOutcome {
    /// The endpoint answered in full.
    Completed { status: u16, headers: HeaderFields },
    /// The endpoint has not run the request and never will.
    NotRun {
        code: ResultCode,
        /// Whether the endpoint itself refused it.
        reached_endpoint: bool,
        /// Time after which another attempt is worthwhile.
        wait: ClockTime,
    },
    /// The endpoint may have run the request.
    Unknown { code: ResultCode },
}

/// Is the load of an endpoint when its node answered.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// Requests that run or wait.
    pub(crate) outstanding: u32,
    /// Requests that may run at the same time.
    pub(crate) capacity: u32,
    /// Mean time in ms for which a request holds a slot.
    pub(crate) mean_hold_ms: f32,
}

/// Heads the answer to a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ForwardResponseHeader {
    pub(crate) outcome: ForwardOutcome,
    pub(crate) load: LoadReport,
    /// Time from the arrival at the node to the answer.
    pub(crate) elapsed: ClockTime,
    /// Time of the answer on the clock of the node that sends it.
    pub(crate) answered_at: RemoteTime,
    /// Time for which the endpoint worked on the request, if it answered.
    pub(crate) worked: Option<ClockTime>,
    pub(crate) body_length: u64,
}

/// Is the answer to a forwarded request with its body.
#[derive(Debug, Clone)]
pub(crate) struct ForwardResponse {
    pub(crate) header: ForwardResponseHeader,
    pub(crate) body: Bytes,
}
