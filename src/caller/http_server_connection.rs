use std::pin::pin;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::{Method, StatusCode, Version, header};
use monoio::net::TcpStream;
use monoio::time;

use crate::call::CallResponse;
use crate::caller::call_service;
use crate::caller::message_head;
use crate::caller::{BodyLength, RequestService, ServerLimits, StopSignal, WireError, WireStream};
use crate::error::{Error, ResultCode};

/// Maximum size of pipelined data read while a request is running.
///
/// Reading continues during a request because that is how a closed connection is detected. Above
/// this size, it is suspended until the response is ready.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Server side of one HTTP/1.1 connection, which serves requests one at a time so that responses
/// stay in order.
pub(crate) struct HttpServerConnection {
    stream: WireStream,
    service: Rc<dyn RequestService>,
    limits: Rc<ServerLimits>,
    stop: StopSignal,
}

/// Action on the connection after a request.
enum NextStep {
    KeepAlive,
    Close,
    Abort,
}

impl HttpServerConnection {
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

    /// Serves until the connection ends, reaches the idle timeout or the server stops.
    pub(crate) async fn run(mut self) {
        loop {
            if self.stream.buffered() == 0 && !self.wait_for_request().await {
                return;
            }
            match self.serve_request().await {
                NextStep::KeepAlive => {}
                NextStep::Close => return self.stream.linger().await,
                NextStep::Abort => return,
            }
        }
    }

    /// Sends a 503 response and closes the connection, because too many connections are open.
    pub(crate) async fn refuse_connection(mut self) {
        let error = Error::new(ResultCode::Overloaded, "too many connections");
        self.write_error(&error).await;
        self.stream.linger().await;
    }

    async fn wait_for_request(&mut self) -> bool {
        let stopped = pin!(self.stop.wait());
        let idle = self.limits.idle_timeout.to_duration();
        let first_read = pin!(time::timeout(idle, self.stream.fill()));
        match future::select(first_read, stopped).await {
            Either::Left((Ok(Ok(count)), _)) => count > 0,
            _ => false,
        }
    }

    async fn serve_request(&mut self) -> NextStep {
        let request = match self.receive_request().await {
            Ok(request) => request,
            Err(error) => {
                let (code, text) = match error {
                    WireError::Malformed(text) => (ResultCode::MalformedRequest, text),
                    WireError::TooLarge => (ResultCode::RequestTooLarge, "request too large"),
                    WireError::TimedOut => (ResultCode::RequestTooSlow, "request too slow"),
                    _ => return NextStep::Abort,
                };
                self.write_error(&Error::new(code, text)).await;
                return NextStep::Close;
            }
        };
        let is_head = request.method() == Method::HEAD;
        let keep_alive = request.version() == Version::HTTP_11
            && !message_head::has_connection_token(request.headers(), "close");
        let service = Rc::clone(&self.service);
        let mut running = service.serve(request);
        let response = loop {
            if self.stream.buffered() >= MAX_READ_AHEAD_BYTES {
                break running.await;
            }
            let fill = pin!(self.stream.fill());
            match future::select(running, fill).await {
                Either::Left((response, _)) => break response,
                Either::Right((Ok(count), pending)) if count > 0 => running = pending,
                // Dropping the future cancels the request.
                Either::Right(_) => return NextStep::Abort,
            }
        };
        let keep_alive = keep_alive && !self.stop.is_triggered();
        if !self.write_response(&response, is_head, keep_alive).await {
            NextStep::Abort
        } else if keep_alive {
            NextStep::KeepAlive
        } else {
            NextStep::Close
        }
    }

    async fn receive_request(&mut self) -> Result<http::Request<Bytes>, WireError> {
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
            let has_body = !matches!(length, BodyLength::Absent | BodyLength::Fixed(0));
            if has_body && parts.version == Version::HTTP_11 && self.stream.buffered() == 0 {
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

    async fn write_error(&mut self, error: &Error) {
        let response = call_service::to_response(CallResponse::from_error(error));
        self.write_response(&response, false, false).await;
    }

    async fn write_response(
        &mut self,
        response: &http::Response<Bytes>,
        is_head: bool,
        keep_alive: bool,
    ) -> bool {
        let bytes = encode(response, is_head, keep_alive);
        let timeout = self.limits.body_timeout.to_duration();
        let written = time::timeout(timeout, self.stream.write(bytes)).await;
        matches!(written, Ok(Ok(())))
    }
}

fn encode(response: &http::Response<Bytes>, is_head: bool, keep_alive: bool) -> Vec<u8> {
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
    let has_no_body = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if !has_no_body {
        bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    if !keep_alive {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if !has_no_body && !is_head {
        bytes.extend_from_slice(body);
    }
    bytes
}
