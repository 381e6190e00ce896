use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{FutureExt, LocalBoxFuture};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Method, Request, Response};
use monoio::time;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};
use crate::peer::stream_io;
use crate::peer::{ByteCounter, ShutdownSignal, StreamHandler};
use crate::sidecar::exit_service::ExitService;
use crate::sidecar::forward_message::{
    FORWARD_LIMIT, ForwardAnswer, ForwardCodec, ForwardHeader, ResumeHeader,
};
use crate::sidecar::view_message::{ViewCodec, ViewRequest};
use crate::sidecar::view_service::ViewService;

/// Path of forwarded requests.
pub(crate) const FORWARD_PATH: &str = "/forward/1";
/// Path of questions about requests whose connection was lost.
pub(crate) const RESUME_PATH: &str = "/resume/1";
/// Path of questions about the view of a node.
pub(crate) const VIEW_PATH: &str = "/view/2";
/// Longest time for a request to arrive in full.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for the peer to take an answer, so that one that does not read holds no memory.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the requests that other nodes forward.
pub(crate) struct ForwardStreams {
    pub(crate) service: Rc<ExitService>,
    pub(crate) views: Rc<ViewService>,
    pub(crate) body_limit: usize,
}

impl StreamHandler for ForwardStreams {
    fn serve(
        &self,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        _counter: Rc<ByteCounter>,
        _shutdown: ShutdownSignal,
    ) -> LocalBoxFuture<'static, ()> {
        let stream = ForwardStream {
            service: Rc::clone(&self.service),
            views: Rc::clone(&self.views),
            body_limit: self.body_limit,
            respond,
        };
        stream.serve(request).boxed_local()
    }
}

struct ForwardStream {
    service: Rc<ExitService>,
    views: Rc<ViewService>,
    body_limit: usize,
    respond: SendResponse<Bytes>,
}

impl ForwardStream {
    async fn serve(mut self, request: Request<RecvStream>) {
        let path = request.uri().path().to_owned();
        let post = request.method() == Method::POST;
        let stream = request.into_body();
        let result = match path.as_str() {
            FORWARD_PATH if post => self.forward(stream).await,
            RESUME_PATH if post => self.resume(stream).await,
            VIEW_PATH if post => self.view(stream).await,
            _ => Err(Error::new(
                ResultCode::PeerProtocol,
                format!("unknown path {path}"),
            )),
        };
        if let Err(error) = result {
            log::debug!("a peer's stream was reset: {error}");
            self.respond.send_reset(Reason::PROTOCOL_ERROR);
        }
    }

    async fn forward(&mut self, stream: RecvStream) -> Result<()> {
        let clock = self.service.state.clock;
        let start = clock.now();
        let (mut header, body): (ForwardHeader, _) = read(stream, self.body_limit).await?;
        if body.len() as u64 != header.body_length {
            let message = "the body of a request has another length";
            return Err(Error::new(ResultCode::PeerProtocol, message));
        }
        let service = Rc::clone(&self.service);
        // Without a common clock, at least the time since the first bytes were read counts.
        let read = header.remaining - (clock.now() - start);
        header.remaining = service.remaining(&header).min(read);
        if service.closed.get() {
            return self.answer(&service.leaving()).await;
        }
        if header.idempotent {
            let running = service.run(&header, &body).boxed_local();
            return match self.unless_reset(running).await {
                Some(answer) => self.answer(&answer).await,
                None => Ok(()),
            };
        }
        let record = match service.submit(header, body) {
            Ok(record) => record,
            Err(answer) => return self.answer(&answer).await,
        };
        match self.unless_reset(record.answer().boxed_local()).await {
            Some(Some(answer)) => self.answer(&answer).await,
            Some(None) => Ok(()),
            None => {
                record.cancel();
                Ok(())
            }
        }
    }

    async fn resume(&mut self, stream: RecvStream) -> Result<()> {
        let (header, _): (ResumeHeader, _) = read(stream, 0).await?;
        let service = Rc::clone(&self.service);
        let running = service.resume(&header).boxed_local();
        match self.unless_reset(running).await {
            Some(answer) => self.answer(&answer).await,
            None => Ok(()),
        }
    }

    async fn view(&mut self, stream: RecvStream) -> Result<()> {
        let (request, _): (ViewRequest, _) = read(stream, 0).await?;
        let views = Rc::clone(&self.views);
        let running = views.handle(&request).boxed_local();
        match self.unless_reset(running).await {
            Some(reply) => self.send(ViewCodec::encode(&reply)?, Bytes::new()).await,
            None => Ok(()),
        }
    }

    /// Returns `None` when the peer resets the stream. A lost connection is no reset: the future
    /// then waits until it is dropped with the connection.
    async fn unless_reset<Answer>(
        &mut self,
        mut running: LocalBoxFuture<'_, Answer>,
    ) -> Option<Answer> {
        future::poll_fn(|context| {
            if let Poll::Ready(answer) = running.as_mut().poll(context) {
                return Poll::Ready(Some(answer));
            }
            match self.respond.poll_reset(context) {
                Poll::Ready(Ok(_)) => Poll::Ready(None),
                Poll::Ready(Err(_)) | Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    async fn answer(&mut self, answer: &ForwardAnswer) -> Result<()> {
        let head = ForwardCodec::encode(&answer.reply)?;
        self.send(head, answer.body.clone()).await
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
        time::timeout(ANSWER_TIMEOUT, sending)
            .await
            .map_err(|_| Error::new(ResultCode::ConnectionLost, "the peer takes no answer"))?
    }
}

async fn read<Head>(mut stream: RecvStream, limit: usize) -> Result<(Head, Bytes)>
where
    Head: DeserializeOwned,
{
    let reading = async {
        let mut buffer = BytesMut::new();
        let head = stream_io::read_frame::<Head, FORWARD_LIMIT>(&mut stream, &mut buffer).await?;
        let body = stream_io::read_to_end(&mut stream, buffer, limit).await?;
        Ok((head, body))
    };
    let late = |_| Error::new(ResultCode::RequestTooSlow, "a request took over 10 s");
    time::timeout(REQUEST_TIMEOUT, reading)
        .await
        .map_err(late)?
}
