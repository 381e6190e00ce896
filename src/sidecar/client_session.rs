use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::future::{self, Either};
use monoio::net::TcpStream;
use monoio::time;

use crate::caller::{BodyLength, StopSignal, WireError, WireStream};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::mesh::{ClientLimits, MeshConfig};
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::client_server::ClientContext;
use crate::sidecar::outbound_request::OutboundRequest;
use crate::sidecar::request_parser::{self, RequestHead};
use crate::size::ByteSize;

/// Client limits while no configuration is installed.
const INITIAL_LIMITS: ClientLimits = ClientLimits {
    head_size: ByteSize(16 * 1024),
    body_size: ByteSize(1024 * 1024),
    head_time: ClockTime(3_000),
    idle_time: ClockTime(15_000),
};
/// Extra time beyond the idle limit, for a request that is already in transit.
const IDLE_MARGIN: ClockTime = ClockTime(1_000);
/// Assumed remaining time of a request whose client does not state one.
const DEFAULT_REMAINING_TIME: ClockTime = ClockTime(30_000);
/// Time limit for writing a response, and for receiving a body if the client does not state its
/// remaining time.
const TRANSFER_TIMEOUT: ClockTime = ClockTime(30_000);
/// Limit in bytes for pipelined data that is read while a request runs. Reading detects a closed
/// connection; beyond the limit, it resumes only after the response.
const READ_AHEAD_LIMIT: usize = 64 * 1024;
/// Suggested delay of a retry while no configuration is installed or no memory for a body is free.
const UNAVAILABLE_RETRY_AFTER: ClockTime = ClockTime(300);

/// Server side of one client connection, whose requests are served sequentially.
pub(crate) struct ClientSession {
    stream: WireStream,
    context: Rc<ClientContext>,
    stop: StopSignal,
}

/// Use of the connection after a request.
enum NextStep {
    /// The next request is served.
    Continue,
    /// Unread bytes are discarded before the connection is closed, so that the client receives the
    /// response.
    Close,
    /// The connection is closed immediately.
    Drop,
}

impl ClientSession {
    pub(crate) fn new(stream: TcpStream, context: Rc<ClientContext>, stop: StopSignal) -> Self {
        Self {
            stream: WireStream::new(stream),
            context,
            stop,
        }
    }

    /// Serves requests until the connection ends or exceeds the idle limit, or the node stops.
    pub(crate) async fn run(mut self) {
        loop {
            if self.stream.buffered() == 0 && !self.wait_for_data().await {
                return;
            }
            match self.serve_one().await {
                NextStep::Continue => {}
                NextStep::Close => return self.stream.linger().await,
                NextStep::Drop => return,
            }
        }
    }

    async fn wait_for_data(&mut self) -> bool {
        let limits = client_limits(self.context.state.config().as_deref());
        let idle = limits.idle_time + IDLE_MARGIN;
        let stopped = pin!(self.stop.wait());
        let received = pin!(time::timeout(idle.to_duration(), self.stream.fill()));
        match future::select(received, stopped).await {
            Either::Left((Ok(Ok(count)), _)) => count > 0,
            _ => false,
        }
    }

    async fn serve_one(&mut self) -> NextStep {
        let config = self.context.state.config();
        let limits = client_limits(config.as_deref());
        let head = match self.receive_head(&limits).await {
            Ok(head) => head,
            Err(WireError::TooLarge) => return self.reject(ResultCode::RequestHeadTooLarge).await,
            Err(error) => return self.reject_invalid(&error).await,
        };
        let arrived = self.context.state.clock.now();
        let free = self.context.bodies.available();
        let body = match self.receive_body(&head, &limits, free).await {
            Ok(body) => body,
            // The body may be within the client limit but exceeds the memory that is free.
            Err(WireError::TooLarge) if free < limits.body_size.0 => {
                return self.reject(ResultCode::Overloaded).await;
            }
            Err(error) => return self.reject_invalid(&error).await,
        };
        let Some(_reservation) = self.context.bodies.try_reserve(body.len() as u64) else {
            return self.reject(ResultCode::Overloaded).await;
        };
        let is_head = head.method == http::Method::HEAD;
        let keep_alive = head.keep_alive;
        // The configuration may have changed while the body arrived; the latest one applies.
        let config = self.context.state.config();
        let response = match self.match_route(head, body, arrived, config) {
            Ok(request) => match self.dispatch(&request).await {
                Some(response) => response,
                None => return NextStep::Drop,
            },
            Err(response) => response,
        };
        let keep_alive =
            keep_alive && !self.stop.is_triggered() && !self.context.state.is_shutting_down();
        if !self.write_response(&response, keep_alive, is_head).await {
            NextStep::Drop
        } else if keep_alive {
            NextStep::Continue
        } else {
            NextStep::Close
        }
    }

    /// Matches a request with its route and picks the target service.
    ///
    /// # Errors
    ///
    /// The response for the client if no configuration is installed or no route matches.
    fn match_route(
        &self,
        head: RequestHead,
        body: Bytes,
        arrived: ClockTime,
        config: Option<Arc<MeshConfig>>,
    ) -> Result<OutboundRequest, ClientResponse> {
        let Some(config) = config else {
            let id = head.id.as_deref().unwrap_or("-");
            log::info!("event=no_configuration request={id}");
            return Err(ClientResponse::local(
                ResultCode::NodeNotReady,
                Some(UNAVAILABLE_RETRY_AFTER),
            ));
        };
        let Some(rule) = config.lookup(&head.host, head.path()) else {
            log::info!(
                "event=no_route request={} host={} path={} version={}",
                head.id.as_deref().unwrap_or("-"),
                head.host,
                head.path(),
                config.version()
            );
            return Err(ClientResponse::local(ResultCode::NoRoute, None));
        };
        let remaining_time = head.remaining_time.unwrap_or(DEFAULT_REMAINING_TIME);
        let service = self
            .context
            .dispatcher
            .picker
            .borrow_mut()
            .pick(rule)
            .clone();
        Ok(OutboundRequest {
            id: head.id.unwrap_or_default(),
            method: head.method.as_str().to_owned(),
            target: head.target,
            headers: head.headers,
            body,
            arrived,
            deadline: arrived + remaining_time.min(rule.timeout),
            rule: Arc::clone(rule),
            service,
            version: config.version(),
        })
    }

    /// Runs a request. Returns `None` if the client closes the connection before the response.
    async fn dispatch(&mut self, request: &OutboundRequest) -> Option<ClientResponse> {
        let dispatcher = Rc::clone(&self.context.dispatcher);
        let mut running = pin!(dispatcher.dispatch(request));
        loop {
            if self.stream.buffered() >= READ_AHEAD_LIMIT {
                return Some(running.await);
            }
            let fill = pin!(self.stream.fill());
            match future::select(running, fill).await {
                Either::Left((response, _)) => return Some(response),
                Either::Right((Ok(count), pending)) if count > 0 => running = pending,
                Either::Right(_) => {
                    log::info!("event=client_left request={}", request.id);
                    return None;
                }
            }
        }
    }

    async fn receive_head(&mut self, limits: &ClientLimits) -> Result<RequestHead, WireError> {
        let size = limits.head_size.0 as usize;
        let timeout = limits.head_time.to_duration();
        let head = time::timeout(timeout, self.stream.read_head(size))
            .await
            .unwrap_or(Err(WireError::TimedOut))?;
        request_parser::parse(&head, &self.context.settings.headers).await
    }

    async fn receive_body(
        &mut self,
        head: &RequestHead,
        limits: &ClientLimits,
        free_memory: u64,
    ) -> Result<Bytes, WireError> {
        let limit = limits.body_size.0.min(free_memory) as usize;
        if matches!(head.length, BodyLength::Fixed(length) if length > limit) {
            return Err(WireError::TooLarge);
        }
        let has_body = !matches!(head.length, BodyLength::Absent | BodyLength::Fixed(0));
        if head.expects_continue && has_body && self.stream.buffered() == 0 {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
            self.stream.write(interim).await?;
        }
        let timeout = head
            .remaining_time
            .unwrap_or(TRANSFER_TIMEOUT)
            .to_duration();
        time::timeout(timeout, self.stream.read_body(head.length, limit))
            .await
            .unwrap_or(Err(WireError::TimedOut))
    }

    async fn reject_invalid(&mut self, error: &WireError) -> NextStep {
        let code = match error {
            WireError::Malformed(_) => ResultCode::MalformedRequest,
            WireError::TooLarge => ResultCode::RequestTooLarge,
            WireError::TimedOut => ResultCode::RequestTooSlow,
            _ => return NextStep::Drop,
        };
        log::info!("event=bad_request code={code} cause=\"{error}\"");
        self.reject(code).await
    }

    async fn reject(&mut self, code: ResultCode) -> NextStep {
        let retry_after = (code == ResultCode::Overloaded).then_some(UNAVAILABLE_RETRY_AFTER);
        let response = ClientResponse::local(code, retry_after);
        if self.write_response(&response, false, false).await {
            NextStep::Close
        } else {
            NextStep::Drop
        }
    }

    async fn write_response(
        &mut self,
        response: &ClientResponse,
        keep_alive: bool,
        is_head: bool,
    ) -> bool {
        let bytes = response.encode(keep_alive, is_head);
        let written = time::timeout(TRANSFER_TIMEOUT.to_duration(), self.stream.write(bytes)).await;
        matches!(written, Ok(Ok(())))
    }
}

fn client_limits(config: Option<&MeshConfig>) -> ClientLimits {
    config.map_or(INITIAL_LIMITS, |config| config.limits().clone())
}
