use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{Method, Request, Response};
use monoio::time;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};
use crate::held_body::{BodySupply, FETCH_TIMEOUT, HeldBody, RequestBody};
use crate::introduction::{INTRODUCTION_PATH, Introduction};
use crate::memory::MemoryAccount;
use crate::peer::stream_io;
use crate::peer::{ByteCounter, HeldReply, ShutdownSignal, StreamHandler};
use crate::quarantine::{
    MAX_ENTRY_COUNT, QUARANTINE_PATH, QuarantineCodec, QuarantineMessage, QuarantineReply,
};
use crate::sidecar::forward_message::{
    ForwardCodec, ForwardRequestHeader, ForwardResponse, ForwardResponseHeader,
    MAX_FORWARD_HEADER_BYTES, ResumeHeader,
};
use crate::sidecar::inbound_service::InboundService;
use crate::sidecar::view_message::{ViewCodec, ViewRequest};
use crate::sidecar::view_service::ViewService;

/// Path for forwarded requests.
pub(crate) const FORWARD_PATH: &str = "/forward/4";
/// Path for forwarded requests whose body is sent when the node asks for it.
pub(crate) const HELD_FORWARD_PATH: &str = "/forward-held/2";
/// Path for resuming requests whose connection was lost.
pub(crate) const RESUME_PATH: &str = "/resume/4";
/// Path for reading a node's view of the mesh.
pub(crate) const VIEW_PATH: &str = "/view/6";
/// Timeout for receiving a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for sending a response, so that a peer that does not read cannot hold memory.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler of the streams that other nodes open.
pub(crate) struct ForwardHandler {
    pub(crate) inbound: Rc<InboundService>,
    pub(crate) views: Rc<ViewService>,
    pub(crate) body_limit: usize,
    pub(crate) memory: Rc<MemoryAccount>,
}

impl StreamHandler for ForwardHandler {
    fn serve(
        &self,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        _counter: Rc<ByteCounter>,
        _shutdown: ShutdownSignal,
    ) -> LocalBoxFuture<'static, ()> {
        let stream = ForwardStream {
            inbound: Rc::clone(&self.inbound),
            views: Rc::clone(&self.views),
            body_limit: self.body_limit,
            memory: Rc::clone(&self.memory),
            respond,
        };
        stream.serve(request).boxed_local()
    }
}

/// One stream that another node opened.
struct ForwardStream {
    inbound: Rc<InboundService>,
    views: Rc<ViewService>,
    body_limit: usize,
    memory: Rc<MemoryAccount>,
    respond: SendResponse<Bytes>,
}

impl ForwardStream {
    async fn serve(mut self, request: Request<RecvStream>) {
        let path = request.uri().path().to_owned();
        let post = request.method() == Method::POST;
        let stream = request.into_body();
        let result = match path.as_str() {
            FORWARD_PATH if post => self.forward(stream).await,
            HELD_FORWARD_PATH if post => self.forward_held(stream).await,
            RESUME_PATH if post => self.resume(stream).await,
            VIEW_PATH if post => self.view(stream).await,
            INTRODUCTION_PATH if post => self.introduction(stream).await,
            QUARANTINE_PATH if post => self.quarantine(stream).await,
            _ => Err(Error::new(
                ResultCode::PeerProtocol,
                format!("unknown path {path}"),
            )),
        };
        if let Err(error) = result {
            log::debug!("resetting peer stream: {error}");
            self.respond.send_reset(Reason::PROTOCOL_ERROR);
        }
    }

    async fn forward(&mut self, stream: RecvStream) -> Result<()> {
        let clock = self.inbound.state.clock;
        let start = clock.now();
        let claim = self.memory.open();
        let admits = |size: usize| claim.resize(size as u64);
        let (mut header, body): (ForwardRequestHeader, _) =
            match read_message(stream, self.body_limit, admits).await {
                // Nothing of the request has run, which the sender learns only from a response.
                Err(error) if error.code() == ResultCode::AnswerTooLarge => {
                    let response = self.inbound.no_memory_response();
                    return self.write_response(&response).await;
                }
                message => message?,
            };
        if body.len() as u64 != header.body_length {
            let message = format!(
                "request body length mismatch: got {} of {} bytes",
                body.len(),
                header.body_length
            );
            return Err(Error::new(ResultCode::PeerProtocol, message));
        }
        let inbound = Rc::clone(&self.inbound);
        // Without an estimate of the sender's clock, at least the time since the stream was opened
        // is deducted.
        let read = header.remaining - (clock.now() - start);
        header.remaining = inbound.remaining(&header).min(read);
        if !inbound.admits_forwarded(&mut header) {
            return self.write_response(&inbound.leaving_response()).await;
        }
        let body = RequestBody::Ready(body);
        if header.idempotent {
            let running = inbound.run(&header, body).boxed_local();
            return match self.run_until_reset(running).await {
                Some(response) => self.write_response(&response).await,
                None => Ok(()),
            };
        }
        let record = match inbound.submit(header, body, Some(claim)) {
            Ok(record) => record,
            Err(response) => return self.write_response(&response).await,
        };
        match self.run_until_reset(record.wait().boxed_local()).await {
            Some(Some(response)) => self.write_response(&response).await,
            Some(None) => Ok(()),
            None => {
                record.cancel();
                Ok(())
            }
        }
    }

    /// Runs a request whose body is asked for when it has a slot.
    async fn forward_held(&mut self, mut stream: RecvStream) -> Result<()> {
        let clock = self.inbound.state.clock;
        let start = clock.now();
        let mut buffer = BytesMut::new();
        let reading = stream_io::read_frame::<ForwardRequestHeader, MAX_FORWARD_HEADER_BYTES>(
            &mut stream,
            &mut buffer,
        );
        let mut header = time::timeout(REQUEST_TIMEOUT, reading)
            .await
            .map_err(too_slow)??;
        let inbound = Rc::clone(&self.inbound);
        let read = header.remaining - (clock.now() - start);
        header.remaining = inbound.remaining(&header).min(read);
        let length = header.body_length;
        if !inbound.admits_forwarded(&mut header) {
            let response = inbound.leaving_response();
            let reply = HeldReply::Final(response.header);
            return self.send(ForwardCodec::encode(&reply)?, Bytes::new()).await;
        }
        let (held, supply) = HeldBody::new();
        let body = RequestBody::Held(held);
        // A refusal by the call table is a result like any other.
        let (running, record) = if header.idempotent {
            let inbound = Rc::clone(&inbound);
            let running = async move { Some(inbound.run(&header, body).await) };
            (running.boxed_local(), None)
        } else {
            match inbound.submit(header, body, None) {
                Ok(record) => {
                    let waiting = Rc::clone(&record);
                    let running = async move { waiting.wait().await };
                    (running.boxed_local(), Some(record))
                }
                Err(response) => (async move { Some(*response) }.boxed_local(), None),
            }
        };
        let request = HeldRequest {
            running,
            supply,
            stream,
            buffer,
            length,
        };
        let response = self.run_held(request).await?;
        if response.is_none()
            && let Some(record) = record
        {
            record.cancel();
        }
        Ok(())
    }

    /// Waits for the result of a held request and sends it; supplies the body if it is asked for. Returns
    /// `None` if the peer has reset the stream or the request was cancelled.
    async fn run_held(&mut self, request: HeldRequest) -> Result<Option<()>> {
        let HeldRequest {
            mut running,
            mut supply,
            mut stream,
            buffer,
            length,
        } = request;
        let wanted = {
            let waiting = async {
                match future::select(&mut running, &mut supply.wanted).await {
                    Either::Left((response, _)) => HeldEvent::Finished(response.map(Box::new)),
                    Either::Right((Ok(()), _)) => HeldEvent::Wanted,
                    // The request ends without its body.
                    Either::Right((Err(_), _)) => HeldEvent::Unwanted,
                }
            };
            self.run_until_reset(waiting.boxed_local()).await
        };
        match wanted {
            None => return Ok(None),
            Some(HeldEvent::Finished(response)) => return self.send_final(None, response).await,
            Some(HeldEvent::Unwanted) => {
                let response = self.run_until_reset(running).await.flatten();
                return self.send_final(None, response.map(Box::new)).await;
            }
            Some(HeldEvent::Wanted) => {}
        }
        let mut sending = self
            .respond
            .send_response(Response::new(()), false)
            .map_err(|error| stream_io::connection_lost(&error))?;
        let ask = ForwardCodec::encode(&HeldReply::<ForwardResponseHeader>::SendBody)?;
        stream_io::send_all(&mut sending, ask, false)
            .await
            .map_err(|error| stream_io::connection_lost(&error))?;
        let claim = self.memory.open();
        let admits = |size: usize| claim.resize(size as u64);
        let reading = stream_io::read_to_end(&mut stream, buffer, self.body_limit, admits);
        // The request gives up its slot after this time, for which it has to be polled.
        let reading = time::timeout(FETCH_TIMEOUT.to_duration(), reading);
        match reading.await.unwrap_or_else(|_| Err(too_slow(()))) {
            // The receiver waits unless the request has ended meanwhile.
            Ok(body) if body.len() as u64 == length => drop(supply.provide.send(body)),
            Ok(body) => {
                log::info!("event=held_body_cut bytes={} of={length}", body.len());
                drop(supply.provide);
            }
            Err(error) => {
                log::info!("event=held_body_lost cause=\"{error}\"");
                drop(supply.provide);
            }
        }
        let response = future::poll_fn(|context| {
            if let Poll::Ready(response) = running.as_mut().poll(context) {
                return Poll::Ready(response);
            }
            match sending.poll_reset(context) {
                Poll::Ready(Ok(_)) => Poll::Ready(None),
                Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
            }
        })
        .await;
        self.send_final(Some(sending), response.map(Box::new)).await
    }

    /// Sends the response to a held request, on a stream that may be open already.
    async fn send_final(
        &mut self,
        sending: Option<SendStream<Bytes>>,
        response: Option<Box<ForwardResponse>>,
    ) -> Result<Option<()>> {
        let Some(response) = response else {
            return Ok(None);
        };
        let ForwardResponse {
            header,
            body,
            claim,
        } = *response;
        let head = ForwardCodec::encode(&HeldReply::Final(header))?;
        match sending {
            None => self.send(head, body).await?,
            Some(mut sending) => {
                let sent = stream_io::send_message(&mut sending, head, body);
                time::timeout(RESPONSE_TIMEOUT, sent)
                    .await
                    .map_err(|_| unread_response())?
                    .map_err(|error| stream_io::connection_lost(&error))?;
            }
        }
        drop(claim);
        Ok(Some(()))
    }

    async fn resume(&mut self, stream: RecvStream) -> Result<()> {
        let (header, _): (ResumeHeader, _) = read_message(stream, 0, |_| true).await?;
        let inbound = Rc::clone(&self.inbound);
        let running = inbound.resume(&header).boxed_local();
        match self.run_until_reset(running).await {
            Some(response) => self.write_response(&response).await,
            None => Ok(()),
        }
    }

    async fn view(&mut self, stream: RecvStream) -> Result<()> {
        let (request, _): (ViewRequest, _) = read_message(stream, 0, |_| true).await?;
        let views = Rc::clone(&self.views);
        let running = views.handle(&request).boxed_local();
        match self.run_until_reset(running).await {
            Some(reply) => self.send(ViewCodec::encode(&reply)?, Bytes::new()).await,
            None => Ok(()),
        }
    }

    async fn introduction(&mut self, stream: RecvStream) -> Result<()> {
        let (introduction, _): (Introduction, _) = read_message(stream, 0, |_| true).await?;
        let reply = self.views.introduce(&introduction);
        self.send(ViewCodec::encode(&reply)?, Bytes::new()).await
    }

    async fn quarantine(&mut self, stream: RecvStream) -> Result<()> {
        let (message, _): (QuarantineMessage, _) = read_message(stream, 0, |_| true).await?;
        let quarantine = &self.inbound.state.quarantine;
        let limit = if message.is_question {
            MAX_ENTRY_COUNT
        } else {
            0
        };
        let entries = quarantine.entries(limit);
        quarantine.merge(message.entries);
        let head = QuarantineCodec::encode(&QuarantineReply { entries })?;
        self.send(head, Bytes::new()).await
    }

    /// Runs a future until the peer resets the stream, in which case it returns `None`.
    ///
    /// A lost connection is not a reset: the future then stays pending until it is dropped with the
    /// connection.
    async fn run_until_reset<Output>(
        &mut self,
        mut running: LocalBoxFuture<'_, Output>,
    ) -> Option<Output> {
        future::poll_fn(|context| {
            if let Poll::Ready(response) = running.as_mut().poll(context) {
                return Poll::Ready(Some(response));
            }
            match self.respond.poll_reset(context) {
                Poll::Ready(Ok(_)) => Poll::Ready(None),
                Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    async fn write_response(&mut self, response: &ForwardResponse) -> Result<()> {
        let head = ForwardCodec::encode(&response.header)?;
        self.send(head, response.body.clone()).await
    }

    async fn send(&mut self, head: Bytes, body: Bytes) -> Result<()> {
        let sending = async {
            let mut stream = self
                .respond
                .send_response(Response::new(()), false)
                .map_err(|error| stream_io::connection_lost(&error))?;
            stream_io::send_message(&mut stream, head, body)
                .await
                .map_err(|error| stream_io::connection_lost(&error))
        };
        let sending = pin!(sending);
        time::timeout(RESPONSE_TIMEOUT, sending)
            .await
            .map_err(|_| unread_response())?
    }
}

/// A request whose body the sender holds, with the stream that it arrives on.
struct HeldRequest {
    running: LocalBoxFuture<'static, Option<ForwardResponse>>,
    supply: BodySupply,
    stream: RecvStream,
    /// Bytes that followed the head.
    buffer: BytesMut,
    /// Announced length of the body.
    length: u64,
}

/// What happens first to a held request.
enum HeldEvent {
    Finished(Option<Box<ForwardResponse>>),
    /// The request has a slot, and the body is to be sent.
    Wanted,
    /// The request ends without its body.
    Unwanted,
}

fn unread_response() -> Error {
    Error::new(
        ResultCode::ConnectionLost,
        "peer did not read the response within 10 s",
    )
}

fn too_slow<Cause>(_: Cause) -> Error {
    Error::new(ResultCode::RequestTooSlow, "request not received in time")
}

async fn read_message<Head, Admits>(
    mut stream: RecvStream,
    limit: usize,
    admits: Admits,
) -> Result<(Head, Bytes)>
where
    Head: DeserializeOwned,
    Admits: FnMut(usize) -> bool,
{
    let reading = async {
        let mut buffer = BytesMut::new();
        let head =
            stream_io::read_frame::<Head, MAX_FORWARD_HEADER_BYTES>(&mut stream, &mut buffer)
                .await?;
        let body = stream_io::read_to_end(&mut stream, buffer, limit, admits).await?;
        Ok((head, body))
    };
    time::timeout(REQUEST_TIMEOUT, reading)
        .await
        .map_err(too_slow)?
}
