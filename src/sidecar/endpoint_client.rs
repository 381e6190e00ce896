use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, Version, header};
use monoio::net::TcpStream;
use monoio::time;

use crate::caller::{self, BodyLength, WireError, WireStream};
use crate::clock::{ClockTime, SystemClock};
use crate::error::ResultCode;
use crate::id::EndpointId;
use crate::sidecar::HeaderNames;
use crate::sidecar::forward_message::{ForwardHeader, ForwardOutcome, HeaderFields};

/// Time to open a connection to the endpoint on the same machine, where a handshake takes about a
/// millisecond; a longer wait means that the endpoint is stuck or gone.
const CONNECT_TIMEOUT: ClockTime = ClockTime(250);
/// Age at which an idle connection is closed when the endpoint names no time of its own.
const IDLE_LIMIT: ClockTime = ClockTime(4_000);
/// Age up to which an idle connection serves a request that must not run twice. On an older one
/// the endpoint may just be closing it, which leaves unknown whether the request ran.
const SAFE_IDLE: ClockTime = ClockTime(500);
/// Part of the endpoint's own idle time after which a connection is no longer used.
const IDLE_PART: f64 = 0.8;
/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// Interim and unrelated answers that are skipped before the expected one.
const SKIP_LIMIT: usize = 8;

struct IdleConnection {
    stream: WireStream,
    since: ClockTime,
    limit: ClockTime,
}

/// Sends requests to the endpoint beside the node.
pub(crate) struct EndpointClient {
    address: SocketAddr,
    clock: SystemClock,
    names: Rc<HeaderNames>,
    answer_limit: usize,
    idle: RefCell<VecDeque<IdleConnection>>,
    /// Endpoint that answered in place of the expected one.
    occupant: RefCell<Option<String>>,
}

/// Is a complete answer of the endpoint, and how the connection can be used further.
struct EndpointAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    reusable: Option<ClockTime>,
}

impl EndpointClient {
    pub(crate) fn new(
        address: SocketAddr,
        clock: SystemClock,
        names: Rc<HeaderNames>,
        answer_limit: usize,
    ) -> Self {
        Self {
            address,
            clock,
            names,
            answer_limit,
            idle: RefCell::default(),
            occupant: RefCell::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all idle connections, because another endpoint may have taken the address.
    pub(crate) fn reset(&self) {
        self.idle.borrow_mut().clear();
        self.occupant.borrow_mut().take();
    }

    /// Returns whether another endpoint is known to have the address.
    pub(crate) fn is_occupied_by_other(&self, expected: &EndpointId) -> bool {
        let occupant = self.occupant.borrow();
        occupant
            .as_deref()
            .is_some_and(|occupant| occupant != expected.as_str())
    }

    /// Runs one request; dropping the future closes its connection, which ends the work.
    pub(crate) async fn run(
        &self,
        header: &ForwardHeader,
        body: &Bytes,
        deadline: ClockTime,
    ) -> (ForwardOutcome, Bytes) {
        let mut stream = match self.connection(header.idempotent).await {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("request {}: {error}", header.request_id);
                return (not_run(ResultCode::BackendUnreachable, false), Bytes::new());
            }
        };
        // The process may have been paused since the request was admitted.
        let now = self.clock.now();
        if now >= deadline {
            return (not_run(ResultCode::DeadlineTooShort, false), Bytes::new());
        }
        let left = deadline - now;
        let message = self.encode(header, body, left);
        let exchange = self.exchange(&mut stream, message, header);
        match time::timeout(left.to_duration(), exchange).await {
            Ok(Ok(answer)) => {
                if let Some(limit) = answer.reusable {
                    self.keep(stream, limit);
                }
                self.classify(answer, header)
            }
            Ok(Err(WireError::NotWritten(error))) => {
                log::debug!("request {}: not written: {error}", header.request_id);
                (not_run(ResultCode::BackendUnreachable, false), Bytes::new())
            }
            Ok(Err(error)) => {
                let code = if error.is_invalid_message() {
                    ResultCode::AnswerMalformed
                } else {
                    ResultCode::ConnectionLost
                };
                log::debug!("request {}: no complete answer: {error}", header.request_id);
                (ForwardOutcome::Unknown { code }, Bytes::new())
            }
            Err(_) => {
                let code = ResultCode::DeadlinePassed;
                (ForwardOutcome::Unknown { code }, Bytes::new())
            }
        }
    }

    async fn connection(&self, idempotent: bool) -> Result<WireStream, WireError> {
        let now = self.clock.now();
        loop {
            let newest = self.idle.borrow_mut().pop_back();
            let Some(mut connection) = newest else {
                break;
            };
            let age = now - connection.since;
            let limit = if idempotent {
                connection.limit
            } else {
                connection.limit.min(SAFE_IDLE)
            };
            if age < limit && connection.stream.is_idle() {
                return Ok(connection.stream);
            }
        }
        let connect = TcpStream::connect_addr(self.address);
        let stream = time::timeout(CONNECT_TIMEOUT.to_duration(), connect)
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(WireError::NotWritten)?;
        Ok(WireStream::new(stream))
    }

    fn keep(&self, stream: WireStream, limit: ClockTime) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| now - connection.since < connection.limit);
        idle.push_back(IdleConnection {
            stream,
            since: now,
            limit,
        });
    }

    fn encode(&self, header: &ForwardHeader, body: &Bytes, left: ClockTime) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(512 + body.len());
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
        bytes.extend_from_slice(body);
        bytes
    }

    async fn exchange(
        &self,
        stream: &mut WireStream,
        message: Vec<u8>,
        header: &ForwardHeader,
    ) -> Result<EndpointAnswer, WireError> {
        let written = stream.write_until_response(message).await?;
        for _ in 0..SKIP_LIMIT {
            let head = stream.read_head(HEAD_LIMIT).await?;
            let parts = caller::parse_response(&head).await?;
            if parts.status.is_informational() {
                continue;
            }
            let (body, framed) = self.read_body(stream, &parts, header).await?;
            if !self.belongs(&parts.headers, header) {
                if !framed {
                    return Err(WireError::Malformed("answer to another request"));
                }
                continue;
            }
            let reusable = written
                && framed
                && parts.version == Version::HTTP_11
                && !caller::has_connection_token(&parts.headers, "close")
                && stream.buffered() == 0;
            let limit = idle_limit(&parts.headers);
            return Ok(EndpointAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
                reusable: reusable.then_some(limit),
            });
        }
        Err(WireError::Malformed("too many answers to other requests"))
    }

    /// Reads the body; returns it and whether its end was marked in the stream.
    async fn read_body(
        &self,
        stream: &mut WireStream,
        parts: &http::response::Parts,
        header: &ForwardHeader,
    ) -> Result<(Bytes, bool), WireError> {
        let bare = header.method == "HEAD"
            || parts.status == StatusCode::NO_CONTENT
            || parts.status == StatusCode::NOT_MODIFIED;
        match caller::body_length(parts.version, &parts.headers)? {
            _ if bare => Ok((Bytes::new(), true)),
            BodyLength::Absent => {
                let body = stream.read_to_end(self.answer_limit).await?;
                Ok((body, false))
            }
            length => {
                let body = stream.read_body(length, self.answer_limit).await?;
                Ok((body, true))
            }
        }
    }

    fn belongs(&self, headers: &HeaderMap, header: &ForwardHeader) -> bool {
        headers
            .get(&self.names.request_id)
            .is_none_or(|value| value.as_bytes() == header.request_id.as_bytes())
    }

    fn classify(&self, answer: EndpointAnswer, header: &ForwardHeader) -> (ForwardOutcome, Bytes) {
        let status = answer.status.as_u16();
        if status == 421 {
            let name = answer.headers.get(&self.names.answering_endpoint);
            let name = name.and_then(|value| value.to_str().ok());
            *self.occupant.borrow_mut() = name.map(str::to_owned);
        }
        if answer.headers.contains_key(&self.names.not_run) || status == 421 {
            let code = match status {
                421 => ResultCode::NoEndpoint,
                400 => ResultCode::MalformedRequest,
                _ => ResultCode::Overloaded,
            };
            return (not_run(code, status != 421), Bytes::new());
        }
        let proven = answer.headers.contains_key(&self.names.endpoint_proof)
            && answer.headers.contains_key(&self.names.request_id)
            && !answer.headers.contains_key(header::CONTENT_ENCODING);
        if answer.status.is_success() && !proven {
            let code = ResultCode::AnswerMalformed;
            return (ForwardOutcome::Unknown { code }, Bytes::new());
        }
        // Without the endpoint's own statement these statuses would promise that nothing ran.
        if !header.idempotent && matches!(status, 408 | 429 | 503) {
            let code = ResultCode::ConnectionLost;
            return (ForwardOutcome::Unknown { code }, Bytes::new());
        }
        let headers = end_to_end(&answer.headers);
        (ForwardOutcome::Answered { status, headers }, answer.body)
    }
}

fn not_run(code: ResultCode, reached: bool) -> ForwardOutcome {
    ForwardOutcome::NotRun {
        code,
        reached,
        wait: ClockTime(0),
    }
}

fn end_to_end(headers: &HeaderMap) -> HeaderFields {
    headers
        .iter()
        .filter(|(name, _)| !caller::is_hop_by_hop_header(name.as_str(), headers))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Returns how long the connection may stay idle by the endpoint's `Keep-Alive` header.
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
        ClockTime((seconds as f64 * 1_000.0 * IDLE_PART) as u64).min(IDLE_LIMIT)
    })
}
