use bytes::Bytes;

use crate::caller::{BodyDecoder, BodyLength, WireError, WireStream};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::memory::MemoryClaim;
use crate::mesh::ClientLimits;
use crate::sidecar::HeaderNames;
use crate::sidecar::client_server::CONNECTION_BYTES;
use crate::sidecar::request_parser::{self, RequestHead};

/// Time limit for receiving a body if the client does not state its remaining time.
const BODY_TIMEOUT: ClockTime = ClockTime(30_000);

/// A request whose head and body are complete.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: RequestHead,
    /// Size of the head in bytes.
    pub(crate) head_size: usize,
    pub(crate) body: Bytes,
    /// Time at which the head was complete.
    pub(crate) arrived: ClockTime,
}

/// Progress of the request that arrives on a connection.
#[derive(Debug)]
pub(crate) enum ReceiveProgress {
    /// More bytes are required.
    Incomplete,
    /// The client waits for an interim response before it sends the body.
    AwaitsContinue,
    Complete(Box<ReceivedRequest>),
}

/// What a request may occupy while it arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceiveLimits<'a> {
    pub(crate) client: &'a ClientLimits,
    /// Memory of the connection; a message is claimed before it is read.
    pub(crate) claim: &'a MemoryClaim,
}

/// Memory of a connection on which a body arrives, besides the body itself: the buffer of one read and
/// what it holds.
const BODY_READ_BYTES: u64 = 64 * 1024;
/// Largest share of the allocator that a growing body claims.
const MAX_ALLOCATOR_BYTES: u64 = 1 << 20;

/// Receiver of the requests of one connection, whose bytes arrive in pieces.
#[derive(Debug, Default)]
pub(crate) struct RequestReceiver {
    /// Arrival time of the first bytes of a head that is incomplete.
    head_since: Option<ClockTime>,
    body: Option<PendingBody>,
}

/// A request whose head has arrived.
#[derive(Debug)]
struct PendingBody {
    head: RequestHead,
    head_size: usize,
    arrived: ClockTime,
    decoder: BodyDecoder,
    /// Bytes of the body that are claimed.
    claimed: u64,
    /// Whether the client waits for an interim response.
    awaits_continue: bool,
}

impl RequestReceiver {
    /// Returns whether the body of a request is due next.
    pub(crate) fn is_in_body(&self) -> bool {
        self.body.is_some()
    }

    /// Returns the time by which the request must be complete, or its head if that is due next.
    pub(crate) fn deadline(&self, limits: &ClientLimits) -> Option<ClockTime> {
        match &self.body {
            Some(body) => Some(body.arrived + body.head.remaining_time.unwrap_or(BODY_TIMEOUT)),
            None => self.head_since.map(|since| since + limits.head_time),
        }
    }

    /// Drops the request that arrives.
    pub(crate) fn clear(&mut self) {
        self.body = None;
        self.head_since = None;
    }

    /// Records that the interim response was sent.
    pub(crate) fn continue_sent(&mut self) {
        if let Some(body) = &mut self.body {
            body.awaits_continue = false;
        }
    }

    /// Takes the next request from the bytes that have arrived.
    ///
    /// # Errors
    ///
    /// The code with which the request is rejected.
    pub(crate) async fn receive(
        &mut self,
        stream: &mut WireStream,
        names: &HeaderNames,
        limits: ReceiveLimits<'_>,
        now: ClockTime,
    ) -> Result<ReceiveProgress, ResultCode> {
        if self.body.is_none() {
            let head = stream
                .take_head(limits.client.head_size.0 as usize)
                .map_err(|_| ResultCode::RequestHeadTooLarge)?;
            let Some(head) = head else {
                if stream.has_partial_head() {
                    self.head_since.get_or_insert(now);
                }
                return Ok(ReceiveProgress::Incomplete);
            };
            self.head_since = None;
            let head_size = head.len();
            let head = request_parser::parse(&head, names)
                .await
                .map_err(|error| rejection(&error, None))?;
            self.body = Some(PendingBody::new(head, head_size, limits, now)?);
        }
        let Some(body) = &mut self.body else {
            return Ok(ReceiveProgress::Incomplete);
        };
        // A client that has begun to send the body does not wait for the interim response.
        if body.awaits_continue && stream.buffered() == 0 {
            return Ok(ReceiveProgress::AwaitsContinue);
        }
        let content = stream
            .take_body(&mut body.decoder)
            .map_err(|error| rejection(&error, body.head.id.as_deref()))?;
        let held = body.decoder.held_len() as u64;
        if content.is_none() && held > body.claimed {
            // Claims ahead, so that tiny chunks do not each change the claim. The allocator keeps a part of
            // what many growing bodies have freed.
            body.claimed = held + (held / 2).min(MAX_ALLOCATOR_BYTES) + BODY_READ_BYTES;
            if !claim_body(limits.claim, body.claimed) {
                return Err(no_memory(body.head.id.as_deref()));
            }
        }
        match (content, self.body.take()) {
            (Some(content), Some(body)) => {
                Ok(ReceiveProgress::Complete(Box::new(ReceivedRequest {
                    head: body.head,
                    head_size: body.head_size,
                    body: content,
                    arrived: body.arrived,
                })))
            }
            (_, body) => {
                self.body = body;
                Ok(ReceiveProgress::Incomplete)
            }
        }
    }
}

impl PendingBody {
    fn new(
        head: RequestHead,
        head_size: usize,
        limits: ReceiveLimits<'_>,
        now: ClockTime,
    ) -> Result<Self, ResultCode> {
        let limit = limits.client.body_size.0 as usize;
        let decoder = BodyDecoder::new(head.length, limit)
            .map_err(|error| rejection(&error, head.id.as_deref()))?;
        let claimed = match head.length {
            BodyLength::Fixed(length) => length as u64,
            BodyLength::Absent | BodyLength::Chunked => 0,
        };
        if claimed > 0 && !claim_body(limits.claim, claimed) {
            return Err(no_memory(head.id.as_deref()));
        }
        let has_body = !matches!(head.length, BodyLength::Absent | BodyLength::Fixed(0));
        Ok(Self {
            awaits_continue: head.expects_continue && has_body,
            head,
            head_size,
            arrived: now,
            decoder,
            claimed,
        })
    }
}

/// Claims the memory of a connection on which a body of `size` bytes arrives.
fn claim_body(claim: &MemoryClaim, size: u64) -> bool {
    claim.resize(CONNECTION_BYTES + BODY_READ_BYTES + size)
}

fn no_memory(id: Option<&str>) -> ResultCode {
    log::info!("event=no_memory request={}", id.unwrap_or("-"));
    ResultCode::Overloaded
}

/// Returns the code with which an invalid request is rejected.
fn rejection(error: &WireError, id: Option<&str>) -> ResultCode {
    let id = id.unwrap_or("-");
    log::info!("event=bad_request request={id} cause=\"{error}\"");
    match error {
        WireError::TooLarge => ResultCode::RequestTooLarge,
        _ => ResultCode::MalformedRequest,
    }
}
