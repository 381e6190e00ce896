use std::pin::pin;
use std::rc::Rc;

use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use monoio::net::TcpStream;
use monoio::time;

use crate::caller::{StopSignal, WireStream};
use crate::clock::ClockTime;
use crate::error::ResultCode;
use crate::memory::MemoryClaim;
use crate::mesh::{ClientLimits, MeshConfig};
use crate::sidecar::client_response::ClientResponse;
use crate::sidecar::client_server::{CONNECTION_BYTES, ClientContext};
use crate::sidecar::pending_request::{FinishedRequest, PendingRequest, PendingResponse};
use crate::sidecar::request_receiver::{
    ReceiveLimits, ReceiveProgress, ReceivedRequest, RequestReceiver,
};
use crate::sidecar::route_match;
use crate::sidecar::{PipelineLimits, PipelinedRequest, RequestPipeline};
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
/// Time limit for writing a response.
const WRITE_TIMEOUT: ClockTime = ClockTime(30_000);
/// Limit in bytes for data that is read while no further request is accepted. Reading detects a
/// closed connection; beyond the limit, it resumes only after the next response.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Limits on the pipelined requests of one connection.
const PIPELINE_LIMITS: PipelineLimits = PipelineLimits {
    requests: 16,
    request_bytes: 256 * 1024,
    held_bytes: 256 * 1024,
};
/// Suggested delay of a retry while no configuration is installed or no memory for a body is free.
pub(crate) const UNAVAILABLE_RETRY_AFTER: ClockTime = ClockTime(300);

/// Server side of one client connection.
pub(crate) struct ClientSession {
    stream: WireStream,
    context: Rc<ClientContext>,
    stop: StopSignal,
    receiver: RequestReceiver,
    pipeline: RequestPipeline<PendingRequest, PendingResponse>,
    running: FuturesUnordered<LocalBoxFuture<'static, FinishedRequest>>,
    /// Memory of the connection and of the request that arrives.
    claim: MemoryClaim,
}

/// Event that a session processes next.
enum SessionEvent {
    Received,
    Finished(FinishedRequest),
    /// The request that arrives is not complete in time.
    ReceiveTimeout,
    /// The request that arrives gives way to others, which need its memory.
    Evicted,
    /// The client closed the connection, or the connection is idle and ends.
    Ended,
}

/// What happens to the connection at the end of a session.
enum SessionEnd {
    /// Unread bytes are discarded before the connection is closed, so that the client receives the
    /// last response.
    Close,
    /// The connection is closed immediately.
    Drop,
}

impl ClientSession {
    pub(crate) fn new(
        stream: TcpStream,
        context: Rc<ClientContext>,
        stop: StopSignal,
        claim: MemoryClaim,
    ) -> Self {
        Self {
            stream: WireStream::new(stream),
            context,
            stop,
            receiver: RequestReceiver::default(),
            pipeline: RequestPipeline::new(PIPELINE_LIMITS),
            running: FuturesUnordered::new(),
            claim,
        }
    }

    /// Serves requests until the connection ends or exceeds the idle limit, or the node stops.
    ///
    /// Requests that are still running when the client leaves are cancelled.
    pub(crate) async fn run(mut self) {
        match self.serve().await {
            SessionEnd::Close => self.stream.linger().await,
            SessionEnd::Drop => {}
        }
    }

    async fn serve(&mut self) -> SessionEnd {
        loop {
            if let Err(code) = self.receive_requests().await {
                self.reject(code);
            }
            self.start_requests();
            if self.is_stopping() && !self.pipeline.is_empty() {
                self.pipeline.refuse_waiting(PendingRequest::refuse);
                if self.pipeline.is_finished() {
                    self.pipeline.close();
                }
            }
            if let Some(response) = self.pipeline.take_response() {
                let closes = self.pipeline.is_closed() && self.pipeline.is_empty();
                if !self.write_response(response, closes).await {
                    return SessionEnd::Drop;
                }
                if closes {
                    return SessionEnd::Close;
                }
                continue;
            }
            match self.wait().await {
                SessionEvent::Received => {}
                SessionEvent::Finished(finished) => {
                    finished.record(&mut self.pipeline, &self.context.state.metrics);
                }
                SessionEvent::ReceiveTimeout => self.reject(ResultCode::RequestTooSlow),
                SessionEvent::Evicted if self.receiver.is_in_body() => {
                    self.reject(ResultCode::Overloaded);
                }
                SessionEvent::Evicted => return SessionEnd::Drop,
                SessionEvent::Ended => return SessionEnd::Drop,
            }
        }
    }

    /// Returns whether the connection ends after the requests that are already running.
    fn is_stopping(&self) -> bool {
        self.stop.is_triggered() || self.context.state.is_shutting_down()
    }

    /// Appends the requests that have arrived to the pipeline.
    ///
    /// # Errors
    ///
    /// The code with which an invalid request is rejected.
    async fn receive_requests(&mut self) -> Result<(), ResultCode> {
        let context = Rc::clone(&self.context);
        while self.pipeline.accepts_requests() {
            let limits = client_limits(context.state.config().as_deref());
            let limits = ReceiveLimits {
                client: &limits,
                claim: &self.claim,
            };
            let names = &context.settings.headers;
            let now = context.state.clock.now();
            let progress = self.receiver.receive(&mut self.stream, names, limits, now);
            match progress.await? {
                ReceiveProgress::Incomplete => return self.claim_incomplete(),
                ReceiveProgress::Complete(received) => self.accept(*received),
                // An interim response follows the responses to earlier requests.
                ReceiveProgress::AwaitsContinue if !self.pipeline.is_empty() => return Ok(()),
                ReceiveProgress::AwaitsContinue => {
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
                    if let Err(error) = self.stream.write(interim).await {
                        log::debug!("interim response not written: {error}");
                    }
                    self.receiver.continue_sent();
                }
            }
        }
        Ok(())
    }

    /// Appends a request to the pipeline, or its response if it cannot be run.
    fn accept(&mut self, received: ReceivedRequest) {
        let body_size = received.body.len();
        self.claim.complete();
        let claim = self.claim.split(body_size as u64);
        self.release_received();
        let size = received.head_size + body_size;
        let is_head = received.head.method == http::Method::HEAD;
        let is_last = !received.head.keep_alive;
        match route_match::match_route(&self.context, received) {
            Ok(request) => self.pipeline.push(PipelinedRequest {
                size,
                is_idempotent: request.rule.idempotent,
                request: PendingRequest {
                    request,
                    is_head,
                    claim,
                },
            }),
            Err(response) => self.push_response(response, is_head),
        }
        if is_last {
            self.pipeline.close();
        }
    }

    /// Claims what has arrived of the next request, which gives way to others while it is incomplete.
    ///
    /// # Errors
    ///
    /// `Overloaded` if there is no memory.
    fn claim_incomplete(&mut self) -> Result<(), ResultCode> {
        self.claim.record_progress();
        if self.receiver.is_in_body() || !self.stream.has_partial_head() {
            return Ok(());
        }
        let size = CONNECTION_BYTES + self.stream.buffered() as u64;
        match self.claim.resize(size) {
            true => Ok(()),
            false => Err(ResultCode::Overloaded),
        }
    }

    /// Reduces the claim to that of a connection without a request.
    fn release_received(&mut self) {
        let is_reduced = self.claim.resize(CONNECTION_BYTES);
        debug_assert!(is_reduced, "there is always room for less");
    }

    /// Rejects the request that arrives. Its end is unknown, so the connection is closed.
    fn reject(&mut self, code: ResultCode) {
        let state = &self.context.state;
        let is_confirmed = state.confirms_config();
        let view = state.view_summary();
        log::info!("event=bad_request code={code} confirmed={is_confirmed} {view}");
        let code = match code {
            // A newer configuration may have other limits.
            ResultCode::RequestTooLarge | ResultCode::RequestHeadTooLarge if !is_confirmed => {
                ResultCode::NodeNotReady
            }
            code => code,
        };
        self.receiver.clear();
        self.stream.discard();
        self.claim.complete();
        self.release_received();
        let may_retry = matches!(code, ResultCode::Overloaded | ResultCode::NodeNotReady);
        let retry_after = may_retry.then_some(UNAVAILABLE_RETRY_AFTER);
        self.push_response(ClientResponse::local(code, retry_after), false);
        self.pipeline.close();
    }

    fn push_response(&mut self, response: ClientResponse, is_head: bool) {
        let response = PendingResponse {
            response,
            is_head,
            permit: None,
        };
        self.pipeline.push_response(response, 0);
    }

    /// Starts all requests whose turn has come; while the node stops, only the oldest one.
    fn start_requests(&mut self) {
        let is_stopping = self.is_stopping();
        loop {
            let permit = self.context.ahead.try_acquire();
            let permit = permit.filter(|_| !is_stopping);
            let Some(started) = self.pipeline.start_next(permit.is_some()) else {
                return;
            };
            if started.is_ahead {
                self.context.state.metrics.record_request_ahead();
            }
            let permit = permit.filter(|_| started.is_ahead);
            let dispatcher = Rc::clone(&self.context.dispatcher);
            let running = started.request.run(dispatcher, started.ticket, permit);
            self.running.push(running.boxed_local());
        }
    }

    /// Waits until a request ends, data arrives or a time limit passes.
    async fn wait(&mut self) -> SessionEvent {
        let limits = client_limits(self.context.state.config().as_deref());
        let now = self.context.state.clock.now();
        let accepts_requests = self.pipeline.accepts_requests();
        let is_receiving = self.receiver.is_in_body() || self.stream.has_partial_head();
        let is_idle = self.pipeline.is_empty() && !is_receiving;
        let timeout = match is_idle {
            true => Some(limits.idle_time + IDLE_MARGIN),
            false => self
                .receiver
                .deadline(&limits)
                .filter(|_| accepts_requests)
                .map(|deadline| deadline - now),
        };
        let is_in_body = self.receiver.is_in_body();
        let reads = accepts_requests || self.stream.buffered() < READ_AHEAD_BYTES;
        let stream = &mut self.stream;
        let received = pin!(async {
            match (reads, is_in_body) {
                (false, _) => future::pending().await,
                (true, false) => stream.fill().await,
                (true, true) => stream.fill_client_body().await,
            }
        });
        let received = pin!(async {
            match timeout {
                Some(timeout) => time::timeout(timeout.to_duration(), received).await,
                None => Ok(received.await),
            }
        });
        let running = &mut self.running;
        let finished = pin!(async {
            match running.next().await {
                Some(finished) => finished,
                None => future::pending().await,
            }
        });
        // A connection that waits for its client gives way to others.
        match self.pipeline.is_empty() {
            true => self.claim.begin(),
            false => self.claim.complete(),
        }
        let evicted = pin!(self.claim.evicted());
        let finished = pin!(async {
            match future::select(finished, evicted).await {
                Either::Left((finished, _)) => SessionEvent::Finished(finished),
                Either::Right(_) => SessionEvent::Evicted,
            }
        });
        let stop = &self.stop;
        let stopped = pin!(async {
            match is_idle {
                true => stop.wait().await,
                false => future::pending().await,
            }
        });
        match future::select(finished, future::select(received, stopped)).await {
            Either::Left((event, _)) => event,
            Either::Right((Either::Left((Ok(Ok(count)), _)), _)) if count > 0 => {
                SessionEvent::Received
            }
            Either::Right((Either::Left((Err(_), _)), _)) if !is_idle => {
                SessionEvent::ReceiveTimeout
            }
            Either::Right(_) => SessionEvent::Ended,
        }
    }

    /// Writes a response while the other requests run on; returns whether it was written.
    async fn write_response(&mut self, mut pending: PendingResponse, closes: bool) -> bool {
        let rejection = pending.response.rejection_code();
        if let Some(code) = rejection {
            self.context.state.metrics.record_rejection(code);
        }
        let head = pending.response.encode_head(!closes);
        let body = pending.response.sent_body(pending.is_head);
        let _claim = pending.response.claim.take();
        self.claim.begin();
        let Self {
            stream,
            running,
            pipeline,
            context,
            claim,
            ..
        } = self;
        let writing = pin!(time::timeout(
            WRITE_TIMEOUT.to_duration(),
            stream.write_message(head, body)
        ));
        let mut writing = pin!(async {
            match future::select(writing, pin!(claim.evicted())).await {
                Either::Left((Ok(Ok(())), _)) => true,
                Either::Left(_) | Either::Right(_) => false,
            }
        });
        while !running.is_empty() {
            match future::select(writing, running.next()).await {
                Either::Left((is_written, _)) => return is_written,
                Either::Right((finished, pending)) => {
                    writing = pending;
                    if let Some(finished) = finished {
                        finished.record(pipeline, &context.state.metrics);
                    }
                }
            }
        }
        writing.await
    }
}

fn client_limits(config: Option<&MeshConfig>) -> ClientLimits {
    config.map_or(INITIAL_LIMITS, |config| config.limits().clone())
}
