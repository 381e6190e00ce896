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
    ByteCounter, CallCodec, CallHeader, CallResponseHeader, ControlLink, FenceRequest, PeerHandler,
};
use crate::version::VersionStamp;

/// Time within which a request must be received completely.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which the peer must receive a response, so that a peer that does not read cannot
/// occupy memory indefinitely.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Handler of the streams of calls, fence requests and control links.
pub(crate) struct PeerStreamHandler {
    pub(crate) handler: Rc<dyn PeerHandler>,
    pub(crate) body_limit: usize,
    pub(crate) clock: SystemClock,
}

impl StreamHandler for PeerStreamHandler {
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
        let is_post = request.method() == Method::POST;
        let stream = request.into_body();
        let result = match path.as_str() {
            "/call/1" if is_post => self.call(stream).await,
            "/fence/1" if is_post => self.fence(stream).await,
            "/control/1" if is_post => self.control(stream).await,
            _ => Err(Error::new(
                ResultCode::PeerProtocol,
                format!("unknown path {path}"),
            )),
        };
        if let Err(error) = result {
            log::debug!("reset the stream of a peer: {error}");
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
            // The time in which the body arrived counts against the deadline.
            header.remaining = header.remaining - (clock.now() - start);
            Ok((header, Some(body)))
        };
        let (header, body) = time::timeout(REQUEST_TIMEOUT, reading)
            .await
            .map_err(|_| {
                Error::new(
                    ResultCode::RequestTooSlow,
                    "the request was not received within 10 s",
                )
            })??;
        let (mut response_header, body) = match body {
            Some(body) => {
                let handler = Rc::clone(&self.handler);
                let Some(output) = self.run_until_reset(handler.call(header, body)).await else {
                    return Ok(());
                };
                output
            }
            None => (body_too_large(), Bytes::new()),
        };
        response_header.body_length = body.len() as u64;
        self.respond(&response_header, body).await
    }

    async fn fence(&mut self, mut stream: RecvStream) -> Result<()> {
        let mut buffer = BytesMut::new();
        let reading = stream_io::read_head::<FenceRequest>(&mut stream, &mut buffer);
        let request = time::timeout(REQUEST_TIMEOUT, reading)
            .await
            .map_err(|_| {
                Error::new(
                    ResultCode::RequestTooSlow,
                    "the request was not received within 10 s",
                )
            })??;
        let handler = Rc::clone(&self.handler);
        match self.run_until_reset(handler.fence(request)).await {
            Some(response) => self.respond(&response, Bytes::new()).await,
            None => Ok(()),
        }
    }

    /// Runs the handler of a control link until it ends or the server shuts down.
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

    /// Runs a handler; returns `None` and cancels it if the peer resets the stream.
    async fn run_until_reset<Output>(
        &mut self,
        mut running: LocalBoxFuture<'_, Output>,
    ) -> Option<Output> {
        let either = future::poll_fn(|context| {
            if let Poll::Ready(output) = running.as_mut().poll(context) {
                return Poll::Ready(Either::Left(output));
            }
            self.respond.poll_reset(context).map(|_| Either::Right(()))
        })
        .await;
        match either {
            Either::Left(output) => Some(output),
            Either::Right(()) => None,
        }
    }

    async fn respond<Head>(&mut self, head: &Head, body: Bytes) -> Result<()>
    where
        Head: Serialize,
    {
        let head = CallCodec::encode(head)?;
        let mut stream = self
            .respond
            .send_response(Response::new(()), false)
            .map_err(|error| stream_io::connection_lost(&error))?;
        let writing = stream_io::send_message(&mut stream, head, body);
        time::timeout(RESPONSE_TIMEOUT, writing)
            .await
            .map_err(|_| {
                Error::new(
                    ResultCode::ConnectionLost,
                    "the peer did not receive the response within 10 s",
                )
            })?
            .map_err(|error| stream_io::connection_lost(&error))
    }
}

/// Creates the response header for a call that was not run because its body exceeds the limit.
fn body_too_large() -> CallResponseHeader {
    CallResponseHeader {
        code: ResultCode::RequestTooLarge,
        status: 413,
        headers: Vec::new(),
        retry_after: None,
        load: 0,
        stamp: VersionStamp::default(),
        body_length: 0,
    }
}
