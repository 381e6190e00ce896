use std::future;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, FutureExt, LocalBoxFuture};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Method, Request, Response};
use monoio::time;
use serde::Serialize;

use crate::clock::SystemClock;
use crate::error::{Error, Result, ResultCode};
use crate::peer::stream_handler::{ShutdownSignal, StreamHandler};
use crate::peer::stream_io;
use crate::peer::{
    ByteCounter, CallCodec, CallHeader, CallReply, ControlLink, FenceRequest, PeerHandler,
};
use crate::version::VersionStamp;

/// Longest time for a request to arrive in full.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for the peer to take an answer, so that one that does not read holds no memory.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the streams of peers by the protocol of calls, fences and control links.
pub(crate) struct CallStreams {
    pub(crate) handler: Rc<dyn PeerHandler>,
    pub(crate) body_limit: usize,
    pub(crate) clock: SystemClock,
}

impl StreamHandler for CallStreams {
    fn serve(
        &self,
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        counter: Rc<ByteCounter>,
        shutdown: ShutdownSignal,
    ) -> LocalBoxFuture<'static, ()> {
        let stream = ServerStream {
            handler: Rc::clone(&self.handler),
            body_limit: self.body_limit,
            clock: self.clock,
            counter,
            shutdown,
            respond,
        };
        stream.serve(request).boxed_local()
    }
}

struct ServerStream {
    handler: Rc<dyn PeerHandler>,
    body_limit: usize,
    clock: SystemClock,
    counter: Rc<ByteCounter>,
    shutdown: ShutdownSignal,
    respond: SendResponse<Bytes>,
}

impl ServerStream {
    async fn serve(mut self, request: Request<RecvStream>) {
        let path = request.uri().path().to_owned();
        let post = request.method() == Method::POST;
        let stream = request.into_body();
        let result = match path.as_str() {
            "/call/1" if post => self.call(stream).await,
            "/fence/1" if post => self.fence(stream).await,
            "/control/1" if post => self.control(stream).await,
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

    async fn call(&mut self, mut stream: RecvStream) -> Result<()> {
        let limit = self.body_limit as u64;
        let clock = self.clock;
        let reading = async {
            let mut buffer = BytesMut::new();
            let mut header: CallHeader = stream_io::read_head(&mut stream, &mut buffer).await?;
            if header.body_length > limit {
                return Ok((header, None));
            }
            let start = clock.now();
            let length = header.body_length as usize;
            let body = stream_io::read_body(&mut stream, buffer, length).await?;
            // The sender's time went on while the body arrived.
            header.remaining = header.remaining - (clock.now() - start);
            Ok((header, Some(body)))
        };
        let (header, body) = time::timeout(REQUEST_TIMEOUT, reading)
            .await
            .map_err(|_| Error::new(ResultCode::RequestTooSlow, "a request took over 10 s"))??;
        let (mut reply, body) = match body {
            Some(body) => {
                let handler = Rc::clone(&self.handler);
                let Some(answer) = self.unless_reset(handler.call(header, body)).await else {
                    return Ok(());
                };
                answer
            }
            None => (too_large(), Bytes::new()),
        };
        reply.body_length = body.len() as u64;
        self.answer(&reply, body).await
    }

    async fn fence(&mut self, mut stream: RecvStream) -> Result<()> {
        let mut buffer = BytesMut::new();
        let reading = stream_io::read_head::<FenceRequest>(&mut stream, &mut buffer);
        let request = time::timeout(REQUEST_TIMEOUT, reading)
            .await
            .map_err(|_| Error::new(ResultCode::RequestTooSlow, "a request took over 10 s"))??;
        let handler = Rc::clone(&self.handler);
        match self.unless_reset(handler.fence(request)).await {
            Some(reply) => self.answer(&reply, Bytes::new()).await,
            None => Ok(()),
        }
    }

    /// Runs the handler of a control link until it or the server ends.
    async fn control(&mut self, stream: RecvStream) -> Result<()> {
        let sender = self
            .respond
            .send_response(Response::new(()), false)
            .map_err(|error| stream_io::connection_lost(&error))?;
        let link = ControlLink::new(sender, stream, &self.counter, None);
        let handler = Rc::clone(&self.handler);
        futures_util::future::select(handler.control(link), self.shutdown.clone()).await;
        Ok(())
    }

    /// Runs a handler; drops it and returns `None` when the peer resets the stream.
    async fn unless_reset<Answer>(
        &mut self,
        mut running: LocalBoxFuture<'_, Answer>,
    ) -> Option<Answer> {
        let either = future::poll_fn(|context| {
            if let Poll::Ready(answer) = running.as_mut().poll(context) {
                return Poll::Ready(Either::Left(answer));
            }
            self.respond.poll_reset(context).map(|_| Either::Right(()))
        })
        .await;
        match either {
            Either::Left(answer) => Some(answer),
            Either::Right(()) => None,
        }
    }

    async fn answer<Reply>(&mut self, reply: &Reply, body: Bytes) -> Result<()>
    where
        Reply: Serialize,
    {
        let head = CallCodec::encode(reply)?;
        let mut stream = self
            .respond
            .send_response(Response::new(()), false)
            .map_err(|error| stream_io::connection_lost(&error))?;
        let writing = stream_io::send_message(&mut stream, head, body);
        time::timeout(ANSWER_TIMEOUT, writing)
            .await
            .map_err(|_| Error::new(ResultCode::ConnectionLost, "an answer was not taken"))?
            .map_err(|error| stream_io::connection_lost(&error))
    }
}

/// Makes the answer to a call whose body exceeds the limit; it has not run.
fn too_large() -> CallReply {
    CallReply {
        code: ResultCode::RequestTooLarge,
        status: 413,
        headers: Vec::new(),
        retry_after: None,
        load: 0,
        stamp: VersionStamp::default(),
        body_length: 0,
    }
}
