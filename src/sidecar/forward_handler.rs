use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, FutureExt, LocalBoxFuture};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Method, Request, Response};
use monoio::time;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};
use crate::held_body::RequestBody;
use crate::introduction::{INTRODUCTION_PATH, Introduction};
use crate::memory::MemoryAccount;
use crate::peer::stream_io;
use crate::peer::{ByteCounter, ShutdownSignal, StreamHandler};
use crate::quarantine::{
    MAX_ENTRY_COUNT, QUARANTINE_PATH, QuarantineCodec, QuarantineMessage, QuarantineReply,
};
use crate::sidecar::forward_message::{
    ForwardCodec, ForwardRequestHeader, ForwardResponse, MAX_FORWARD_HEADER_BYTES, ResumeHeader,
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
pub(crate) const VIEW_PATH: &str = "/view/7";
/// Timeout for receiving a complete request.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for sending a response, so that a peer that does not read cannot hold memory.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

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
pub(crate) struct ForwardStream {
    pub(crate) inbound: Rc<InboundService>,
    pub(crate) views: Rc<ViewService>,
    pub(crate) body_limit: usize,
    pub(crate) memory: Rc<MemoryAccount>,
    pub(crate) respond: SendResponse<Bytes>,
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
    pub(crate) async fn run_until_reset<Output>(
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

    pub(crate) async fn send(&mut self, head: Bytes, body: Bytes) -> Result<()> {
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

pub(crate) fn unread_response() -> Error {
    Error::new(
        ResultCode::ConnectionLost,
        "peer did not read the response within 10 s",
    )
}

pub(crate) fn too_slow<Cause>(_: Cause) -> Error {
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
