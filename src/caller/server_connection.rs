use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::{Method, StatusCode, Version, header};
use monoio::net::TcpStream;
use monoio::time;

use crate::call::CallAnswer;
use crate::caller::call_service;
use crate::caller::message_head;
use crate::caller::{BodyLength, RequestService, ServerLimits, StopSignal, WireError, WireStream};
use crate::error::{Error, ResultCode};

/// Pipelined bytes read ahead while a request runs. Reading on is how a closed connection is
/// noticed; beyond this size the connection is read again only after the answer.
const READ_AHEAD: usize = 64 * 1024;

/// Serves the requests of one connection one after the other, so that answers stay in order.
pub(crate) struct ServerConnection {
    stream: WireStream,
    service: Rc<dyn RequestService>,
    limits: Rc<ServerLimits>,
    stop: StopSignal,
}

/// States what follows a request.
enum NextStep {
    Continue,
    Close,
    Drop,
}

impl ServerConnection {
    pub(crate) fn new(
        stream: TcpStream,
        service: Rc<dyn RequestService>,
        limits: Rc<ServerLimits>,
        stop: StopSignal,
    ) -> Self {
        Self {
            stream: WireStream::new(stream),
            service,
            limits,
            stop,
        }
    }

    /// Serves until the connection ends, stays idle too long or the server stops.
    pub(crate) async fn run(mut self) {
        loop {
            if self.stream.buffered() == 0 && !self.wait_first().await {
                return;
            }
            match self.serve_one().await {
                NextStep::Continue => {}
                NextStep::Close => return self.stream.linger().await,
                NextStep::Drop => return,
            }
        }
    }

    /// Refuses the connection because too many are open.
    pub(crate) async fn turn_away(mut self) {
        let error = Error::new(ResultCode::Overloaded, "too many connections");
        self.refuse(&error).await;
        self.stream.linger().await;
    }

    async fn wait_first(&mut self) -> bool {
        let stopped = pin!(self.stop.wait());
        let idle = self.limits.idle_timeout.to_duration();
        let first = pin!(time::timeout(idle, self.stream.fill()));
        match future::select(first, stopped).await {
            Either::Left((Ok(Ok(count)), _)) => count > 0,
            _ => false,
        }
    }

    async fn serve_one(&mut self) -> NextStep {
        let request = match self.receive().await {
            Ok(request) => request,
            Err(error) => {
                let (code, text) = match error {
                    WireError::Malformed(text) => (ResultCode::MalformedRequest, text),
                    WireError::TooLarge => (ResultCode::RequestTooLarge, "request too large"),
                    WireError::TimedOut => (ResultCode::RequestTooSlow, "request too slow"),
                    _ => return NextStep::Drop,
                };
                self.refuse(&Error::new(code, text)).await;
                return NextStep::Close;
            }
        };
        let is_head = request.method() == Method::HEAD;
        let keep = request.version() == Version::HTTP_11
            && !message_head::has_connection_token(request.headers(), "close");
        let service = Rc::clone(&self.service);
        let mut answer = service.serve(request);
        let response = loop {
            if self.stream.buffered() >= READ_AHEAD {
                break answer.await;
            }
            let fill = pin!(self.stream.fill());
            match future::select(answer, fill).await {
                Either::Left((response, _)) => break response,
                Either::Right((Ok(count), pending)) if count > 0 => answer = pending,
                // Dropping the answer cancels the request.
                Either::Right(_) => return NextStep::Drop,
            }
        };
        let keep = keep && !self.stop.is_triggered();
        if !self.write(&response, is_head, keep).await {
            NextStep::Drop
        } else if keep {
            NextStep::Continue
        } else {
            NextStep::Close
        }
    }

    async fn receive(&mut self) -> Result<http::Request<Bytes>, WireError> {
        let limit = self.limits.head_limit.0 as usize;
        let timeout = self.limits.head_timeout.to_duration();
        let head = time::timeout(timeout, self.stream.read_head(limit))
            .await
            .unwrap_or(Err(WireError::TimedOut))?;
        let parts = message_head::parse_request(&head).await?;
        let length = message_head::body_length(parts.version, &parts.headers)?;
        if parts.headers.get_all(header::HOST).iter().count() > 1 {
            return Err(WireError::Malformed("several Host headers"));
        }
        if !parts.uri.path().starts_with('/') {
            return Err(WireError::Malformed("request target is not a path"));
        }
        let limit = self.limits.body_limit.0 as usize;
        if matches!(length, BodyLength::Fixed(length) if length > limit) {
            return Err(WireError::TooLarge);
        }
        if let Some(value) = parts.headers.get(header::EXPECT) {
            if !value.as_bytes().eq_ignore_ascii_case(b"100-continue") {
                return Err(WireError::Malformed("unsupported Expect header"));
            }
            let waits = !matches!(length, BodyLength::Absent | BodyLength::Fixed(0));
            if waits && parts.version == Version::HTTP_11 && self.stream.buffered() == 0 {
                let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
                self.stream.write(interim).await?;
            }
        }
        let timeout = self.limits.body_timeout.to_duration();
        let body = time::timeout(timeout, self.stream.read_body(length, limit))
            .await
            .unwrap_or(Err(WireError::TimedOut))?;
        Ok(http::Request::from_parts(parts, body))
    }

    async fn refuse(&mut self, error: &Error) {
        let response = call_service::to_response(CallAnswer::from_error(error));
        self.write(&response, false, false).await;
    }

    async fn write(&mut self, response: &http::Response<Bytes>, is_head: bool, keep: bool) -> bool {
        let bytes = encode(response, is_head, keep);
        let timeout = self.limits.body_timeout.to_duration();
        let written = time::timeout(timeout, self.stream.write(bytes)).await;
        matches!(written, Ok(Ok(())))
    }
}

fn encode(response: &http::Response<Bytes>, is_head: bool, keep: bool) -> Vec<u8> {
    let status = response.status();
    let body = response.body();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut bytes = Vec::with_capacity(512 + body.len());
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_str()).as_bytes());
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let bare = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if !bare {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    if !keep {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if !bare && !is_head {
        bytes.extend_from_slice(body);
    }
    bytes
}
