use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, Version};
use monoio::net::TcpStream;
use monoio::time;

use crate::advice::AdviceRecorder;
use crate::caller::{self, BodyLength, WireError, WireStream};
use crate::clock::{ClockTime, SystemClock};
use crate::cold::ColdRoom;
use crate::error::ResultCode;
use crate::forwarding::{EndpointResponse, EndpointResult, endpoint_not_run};
use crate::id::EndpointId;
use crate::memory::{MemoryAccount, MemoryClaim};
use crate::sidecar::HeaderNames;
use crate::sidecar::endpoint_connection::EndpointConnection;
use crate::sidecar::forward_message::{ForwardOutcome, ForwardRequestHeader};
use crate::sidecar::idle_connections::IdleConnections;
use crate::sidecar::node_state::NodeState;

/// Timeout for connecting to the endpoint on the same machine, where a handshake takes about a
/// millisecond. A longer wait means that the endpoint hangs or no longer runs.
const CONNECT_TIMEOUT: ClockTime = ClockTime(250);
/// Maximum idle time of a connection, whatever `Keep-Alive` timeout the endpoint sends.
const IDLE_LIMIT: ClockTime = ClockTime(4_000);
/// Fraction of the endpoint's `Keep-Alive` timeout for which a connection is reused.
const KEEP_ALIVE_FACTOR: f64 = 0.8;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of interim and unrelated responses skipped before the expected one.
const MAX_SKIPPED_RESPONSE_COUNT: usize = 8;

/// HTTP client for the local endpoint.
pub(crate) struct EndpointClient {
    address: SocketAddr,
    clock: SystemClock,
    pub(crate) state: Rc<NodeState>,
    pub(crate) names: Rc<HeaderNames>,
    max_response_bytes: usize,
    memory: Rc<MemoryAccount>,
    pub(crate) room: Rc<ColdRoom>,
    advice: AdviceRecorder,
    idle: RefCell<IdleConnections>,
    /// Endpoint that responded to a request addressed to another one.
    pub(crate) responding_endpoint: RefCell<Option<String>>,
}

/// Request that a response belongs to, according to its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseIdentity {
    Own,
    Other,
    Absent,
}

impl EndpointClient {
    pub(crate) fn new(
        address: SocketAddr,
        state: Rc<NodeState>,
        names: Rc<HeaderNames>,
        max_response_bytes: usize,
        memory: Rc<MemoryAccount>,
        room: Rc<ColdRoom>,
        advice: AdviceRecorder,
    ) -> Self {
        Self {
            address,
            clock: state.clock,
            state,
            names,
            max_response_bytes,
            memory,
            room,
            advice,
            idle: RefCell::default(),
            responding_endpoint: RefCell::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all idle connections, because another endpoint may be listening at the address now.
    pub(crate) fn reset(&self) {
        self.idle.borrow_mut().clear();
        self.responding_endpoint.borrow_mut().take();
    }

    /// Returns whether another endpoint is known to be listening at the address.
    pub(crate) fn serves_other_endpoint(&self, expected: &EndpointId) -> bool {
        let responding_endpoint = self.responding_endpoint.borrow();
        responding_endpoint
            .as_deref()
            .is_some_and(|responding_endpoint| responding_endpoint != expected.as_str())
    }

    /// Returns whether no process listens at the address.
    pub(crate) async fn refuses_connections(&self) -> bool {
        let connect = TcpStream::connect_addr(self.address);
        let result = time::timeout(CONNECT_TIMEOUT.to_duration(), connect).await;
        let refused = std::io::ErrorKind::ConnectionRefused;
        matches!(result, Ok(Err(error)) if error.kind() == refused)
    }

    /// Runs a request. Dropping the future closes the connection, which aborts the request.
    pub(crate) async fn run(
        &self,
        header: &ForwardRequestHeader,
        body: &Bytes,
        deadline: ClockTime,
    ) -> EndpointResult {
        let mut connection = match self.acquire_connection(header).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(
                    "request {}: cannot connect to the endpoint: {error}",
                    header.request_id
                );
                self.room.suspect("connection refused");
                return EndpointResult::empty(endpoint_not_run(
                    ResultCode::BackendUnreachable,
                    false,
                ));
            }
        };
        // The process may have been paused since the request was admitted, so the deadline is
        // checked again.
        let now = self.clock.now();
        if now >= deadline {
            return EndpointResult::empty(endpoint_not_run(ResultCode::DeadlineTooShort, false));
        }
        let left = deadline - now;
        let head = self.encode_head(header, body, left);
        let exchange = self.exchange(&mut connection, head, body, header);
        match time::timeout(left.to_duration(), exchange).await {
            Ok(Ok(response)) => {
                let is_reusable =
                    !self.is_refusal(&response) || connection.refused.record(&header.request_id);
                if let Some(limit) = response.idle_limit.filter(|_| is_reusable) {
                    let now = self.clock.now();
                    self.idle.borrow_mut().put(connection, now, limit);
                }
                self.classify(response, header)
            }
            Ok(Err(WireError::NotWritten(error))) => {
                log::debug!(
                    "request {}: not written to the endpoint: {error}",
                    header.request_id
                );
                EndpointResult::empty(endpoint_not_run(ResultCode::BackendUnreachable, false))
            }
            Ok(Err(error)) => {
                let code = if error.is_invalid_message() {
                    ResultCode::AnswerMalformed
                } else {
                    ResultCode::ConnectionLost
                };
                log::debug!("request {}: no valid response: {error}", header.request_id);
                EndpointResult::empty(ForwardOutcome::Unknown { code })
            }
            Err(_) => {
                let code = ResultCode::DeadlinePassed;
                EndpointResult::empty(ForwardOutcome::Unknown { code })
            }
        }
    }

    async fn acquire_connection(
        &self,
        header: &ForwardRequestHeader,
    ) -> Result<EndpointConnection, WireError> {
        let now = self.clock.now();
        if let Some(connection) = self.idle.borrow_mut().take(now, header) {
            return Ok(connection);
        }
        let connect = TcpStream::connect_addr(self.address);
        let stream = time::timeout(CONNECT_TIMEOUT.to_duration(), connect)
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(WireError::NotWritten)?;
        Ok(EndpointConnection::new(WireStream::new(stream)))
    }

    fn encode_head(&self, header: &ForwardRequestHeader, body: &Bytes, left: ClockTime) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512);
        let line = format!("{} {} HTTP/1.1\r\n", header.method, header.target);
        bytes.extend_from_slice(line.as_bytes());
        let mut field = |name: &str, value: &[u8]| {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        };
        for (name, value) in &header.headers {
            field(name, value);
        }
        let names = &self.names;
        if !header.request_id.is_empty() {
            field(names.request_id.as_str(), header.request_id.as_bytes());
        }
        field(names.remaining_time.as_str(), left.0.to_string().as_bytes());
        field(
            names.expected_endpoint.as_str(),
            header.endpoint.as_str().as_bytes(),
        );
        field(
            names.caller_service.as_str(),
            header.caller.as_str().as_bytes(),
        );
        let bodiless = matches!(
            header.method.as_str(),
            "GET" | "HEAD" | "DELETE" | "OPTIONS"
        );
        if !body.is_empty() || !bodiless {
            field("content-length", body.len().to_string().as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    async fn exchange(
        &self,
        connection: &mut EndpointConnection,
        head: Vec<u8>,
        body: &Bytes,
        header: &ForwardRequestHeader,
    ) -> Result<EndpointResponse, WireError> {
        let mut has_earlier = connection.is_reused;
        let sent_at = self.clock.now();
        let stream = &mut connection.stream;
        let written = stream.write_until_response(head, body).await?;
        for _ in 0..MAX_SKIPPED_RESPONSE_COUNT {
            let head = stream.read_head(MAX_HEAD_BYTES).await?;
            let parts = caller::parse_response(&head).await?;
            if parts.status.is_informational() {
                continue;
            }
            if self.identity(&parts.headers, header) == ResponseIdentity::Own {
                self.advice.record(&parts, header, sent_at);
            }
            let (body, framed, claim) = self.read_body(stream, &parts, header).await?;
            match self.identity(&parts.headers, header) {
                ResponseIdentity::Own => {}
                // Nothing on a new connection belongs to an earlier request.
                ResponseIdentity::Absent if !has_earlier => {}
                ResponseIdentity::Absent => {
                    return Err(WireError::Malformed(
                        "response without identifier on a kept connection",
                    ));
                }
                ResponseIdentity::Other if !framed => {
                    return Err(WireError::Malformed(
                        "response has the identifier of another request",
                    ));
                }
                ResponseIdentity::Other => {
                    has_earlier = true;
                    continue;
                }
            }
            let reusable = written
                && framed
                && parts.version == Version::HTTP_11
                && !caller::has_connection_token(&parts.headers, "close")
                && stream.buffered() == 0;
            let limit = idle_limit(&parts.headers);
            return Ok(EndpointResponse {
                status: parts.status,
                headers: parts.headers,
                body,
                claim,
                idle_limit: reusable.then_some(limit),
            });
        }
        Err(WireError::Malformed(
            "too many interim or unrelated responses",
        ))
    }

    /// Reads the body; returns it with its memory, and whether its end was delimited by the message
    /// framing.
    async fn read_body(
        &self,
        stream: &mut WireStream,
        parts: &http::response::Parts,
        header: &ForwardRequestHeader,
    ) -> Result<(Bytes, bool, MemoryClaim), WireError> {
        let bodiless = header.method == "HEAD"
            || parts.status == StatusCode::NO_CONTENT
            || parts.status == StatusCode::NOT_MODIFIED;
        let limit = self.max_response_bytes;
        let claim = self.memory.open();
        let admits = |size: usize| claim.resize(size as u64);
        match caller::body_length(parts.version, &parts.headers)? {
            _ if bodiless => Ok((Bytes::new(), true, claim)),
            BodyLength::Absent => {
                let body = stream.read_to_end(limit, admits).await?;
                Ok((body, false, claim))
            }
            length => {
                let body = stream.read_body_while(length, limit, admits).await?;
                // A body that arrives at once has not grown.
                if !claim.resize(body.len() as u64) {
                    return Err(WireError::TooLarge);
                }
                Ok((body, true, claim))
            }
        }
    }

    fn identity(&self, headers: &HeaderMap, header: &ForwardRequestHeader) -> ResponseIdentity {
        match headers.get(&self.names.request_id) {
            None => ResponseIdentity::Absent,
            Some(id) if id.as_bytes() == header.request_id.as_bytes() => ResponseIdentity::Own,
            Some(_) => ResponseIdentity::Other,
        }
    }
}

/// Returns the maximum idle time of the connection according to the `Keep-Alive` header.
fn idle_limit(headers: &HeaderMap) -> ClockTime {
    let seconds: Option<u64> = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|digits| digits.trim().parse().ok());
    seconds.map_or(IDLE_LIMIT, |seconds| {
        ClockTime((seconds as f64 * 1_000.0 * KEEP_ALIVE_FACTOR) as u64).min(IDLE_LIMIT)
    })
}
