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

/// Limits for clients before a configuration is known.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    head_size: ByteSize(16 * 1024),
    body_size: ByteSize(1024 * 1024),
    head_time: ClockTime(3_000),
    idle_time: ClockTime(15_000),
};
/// Wait for a further request beyond the idle limit, for one that is already on its way.
const IDLE_MARGIN: ClockTime = ClockTime(1_000);
/// Time that a client without a stated deadline waits.
const DEFAULT_PATIENCE: ClockTime = ClockTime(30_000);
/// Time for a client to send a body, or to take an answer.
const TRANSFER_TIME: ClockTime = ClockTime(30_000);
/// Pipelined bytes read ahead while a request runs. Reading on is how a closed connection is
/// noticed; beyond this size the connection is read again only after the answer.
const READ_AHEAD: usize = 64 * 1024;
/// Wait that is suggested while no configuration is known or no room for a body is left.
const START_RETRY: ClockTime = ClockTime(300);

/// Serves the requests of one client connection one after the other.
pub(crate) struct ClientSession {
    stream: WireStream,
    context: Rc<ClientContext>,
    stop: StopSignal,
}

/// States what follows a request.
enum NextStep {
    Continue,
    Close,
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

    /// Serves until the connection ends, stays idle too long or the node stops.
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

    async fn wait_first(&mut self) -> bool {
        let limits = limits_of(self.context.state.config().as_deref());
        let idle = limits.idle_time + IDLE_MARGIN;
        let stopped = pin!(self.stop.wait());
        let first = pin!(time::timeout(idle.to_duration(), self.stream.fill()));
        match future::select(first, stopped).await {
            Either::Left((Ok(Ok(count)), _)) => count > 0,
            _ => false,
        }
    }

    async fn serve_one(&mut self) -> NextStep {
        let config = self.context.state.config();
        let limits = limits_of(config.as_deref());
        let head = match self.receive_head(&limits).await {
            Ok(head) => head,
            Err(WireError::TooLarge) => return self.refuse(ResultCode::RequestHeadTooLarge).await,
            Err(error) => return self.refuse_broken(&error).await,
        };
        let arrived = self.context.state.clock.now();
        let free = self.context.bodies.available();
        let body = match self.receive_body(&head, &limits, free).await {
            Ok(body) => body,
            // The body is within the limit for clients and has no room at present.
            Err(WireError::TooLarge) if free < limits.body_size.0 => {
                return self.refuse(ResultCode::Overloaded).await;
            }
            Err(error) => return self.refuse_broken(&error).await,
        };
        let Some(_hold) = self.context.bodies.try_reserve(body.len() as u64) else {
            return self.refuse(ResultCode::Overloaded).await;
        };
        let is_head = head.method == http::Method::HEAD;
        let keep = head.keep;
        // A configuration that came in force while the body arrived applies.
        let config = self.context.state.config();
        let answer = match self.admit(head, body, arrived, config) {
            Ok(request) => match self.dispatch(&request).await {
                Some(answer) => answer,
                None => return NextStep::Drop,
            },
            Err(answer) => answer,
        };
        let keep = keep && !self.stop.is_given() && !self.context.state.is_leaving();
        if !self.write(&answer, keep, is_head).await {
            NextStep::Drop
        } else if keep {
            NextStep::Continue
        } else {
            NextStep::Close
        }
    }

    /// Finds the rule of a request.
    ///
    /// # Errors
    ///
    /// The answer of a request that no rule allows at present.
    fn admit(
        &self,
        head: RequestHead,
        body: Bytes,
        arrived: ClockTime,
        config: Option<Arc<MeshConfig>>,
    ) -> Result<OutboundRequest, ClientResponse> {
        let Some(config) = config else {
            let id = head.id.as_deref().unwrap_or("-");
            log::info!("event=no_configuration request={id}");
            return Err(ClientResponse::local_reply(
                ResultCode::NodeNotReady,
                Some(START_RETRY),
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
            return Err(ClientResponse::local_reply(ResultCode::NoRoute, None));
        };
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
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
            deadline: arrived + patience.min(rule.timeout),
            rule: Arc::clone(rule),
            service,
            version: config.version(),
        })
    }

    /// Runs a request; `None` when the client has left.
    async fn dispatch(&mut self, request: &OutboundRequest) -> Option<ClientResponse> {
        let dispatcher = Rc::clone(&self.context.dispatcher);
        let mut running = pin!(dispatcher.dispatch(request));
        loop {
            if self.stream.buffered() >= READ_AHEAD {
                return Some(running.await);
            }
            let fill = pin!(self.stream.fill());
            match future::select(running, fill).await {
                Either::Left((answer, _)) => return Some(answer),
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
        free: u64,
    ) -> Result<Bytes, WireError> {
        let limit = limits.body_size.0.min(free) as usize;
        if matches!(head.length, BodyLength::Fixed(length) if length > limit) {
            return Err(WireError::TooLarge);
        }
        let waits = !matches!(head.length, BodyLength::Absent | BodyLength::Fixed(0));
        if head.expects_continue && waits && self.stream.buffered() == 0 {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
            self.stream.write(interim).await?;
        }
        let timeout = head.patience.unwrap_or(TRANSFER_TIME).to_duration();
        time::timeout(timeout, self.stream.read_body(head.length, limit))
            .await
            .unwrap_or(Err(WireError::TimedOut))
    }

    async fn refuse_broken(&mut self, error: &WireError) -> NextStep {
        let code = match error {
            WireError::Malformed(_) => ResultCode::MalformedRequest,
            WireError::TooLarge => ResultCode::RequestTooLarge,
            WireError::TimedOut => ResultCode::RequestTooSlow,
            _ => return NextStep::Drop,
        };
        log::info!("event=bad_request code={code} cause=\"{error}\"");
        self.refuse(code).await
    }

    async fn refuse(&mut self, code: ResultCode) -> NextStep {
        let retry_after = (code == ResultCode::Overloaded).then_some(START_RETRY);
        let answer = ClientResponse::local_reply(code, retry_after);
        if self.write(&answer, false, false).await {
            NextStep::Close
        } else {
            NextStep::Drop
        }
    }

    async fn write(&mut self, answer: &ClientResponse, keep: bool, is_head: bool) -> bool {
        let bytes = answer.encode(keep, is_head);
        let written = time::timeout(TRANSFER_TIME.to_duration(), self.stream.write(bytes)).await;
        matches!(written, Ok(Ok(())))
    }
}

fn limits_of(config: Option<&MeshConfig>) -> ClientLimits {
    config.map_or(FIRST_LIMITS, |config| config.limits().clone())
}
