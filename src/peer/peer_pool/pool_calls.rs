//! Calls, fences and control links over the connections of a pool.

use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::time;

use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::id::NodeAddress;
use crate::peer::peer_connection::{self, PeerConnection};
use crate::peer::peer_request;
use crate::peer::stream_io;
use crate::peer::{
    CallCodec, CallHeader, CallResponseHeader, ControlLink, FenceRequest, FenceResponse,
    PeerCaller, PeerPool,
};

/// Time for a peer to accept a control stream.
const CONTROL_OPEN_TIMEOUT: Duration = Duration::from_secs(3);

impl PeerPool {
    async fn send_call(
        &self,
        to: NodeAddress,
        mut header: CallHeader,
        body: Bytes,
    ) -> Result<(CallResponseHeader, Bytes)> {
        let start = self.clock.now();
        let allowed = header.remaining;
        header.body_length = body.len() as u64;
        let acquired = time::timeout(allowed.to_duration(), self.acquire(to)).await;
        let elapsed = self.clock.now() - start;
        // A process that was paused may resume after the deadline and find the connection ready
        // before the timer fires.
        if elapsed >= allowed {
            return Err(peer_request::deadline_too_short());
        }
        let (_lease, mut sender) = acquired.map_err(|_| peer_request::deadline_too_short())??;
        header.remaining = allowed - elapsed;
        let head = CallCodec::encode(&header)
            .map_err(|error| Error::new(ResultCode::RequestTooLarge, error.message()))?;
        let (response, mut stream) = sender
            .send_request(peer_request::post_request("/call/1"), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        let exchange = async {
            let sent = stream_io::send_message(&mut stream, head, body).await;
            // A peer may respond before it has read the whole body.
            if let Err(error) = sent {
                log::debug!("the request to {to} was not sent completely: {error}");
            }
            peer_request::read_call_response(response, self.response_limit).await
        };
        // The clock is checked on every poll, so that a process resumed after the deadline does not
        // continue to write the body.
        let mut exchange = pin!(exchange);
        let before_deadline = future::poll_fn(|context| {
            if self.clock.now() - start >= allowed {
                return Poll::Ready(Err(deadline_passed(to, allowed)));
            }
            exchange.as_mut().poll(context)
        });
        let remaining = header.remaining.to_duration();
        let result = time::timeout(remaining, before_deadline).await;
        result.unwrap_or_else(|_| Err(deadline_passed(to, allowed)))
    }

    async fn send_fence(&self, to: NodeAddress, request: FenceRequest) -> Result<FenceResponse> {
        let head = CallCodec::encode(&request)?;
        let (_lease, mut sender) = self.acquire(to).await?;
        let (response, mut stream) = sender
            .send_request(peer_request::post_request("/fence/1"), false)
            .map_err(|error| peer_connection::unreachable(to, error))?;
        let unreachable = |error: h2::Error| peer_connection::unreachable(to, error);
        stream_io::send_all(&mut stream, head, true)
            .await
            .map_err(unreachable)?;
        let response = response.await.map_err(unreachable)?;
        let mut stream = response.into_body();
        stream_io::read_head(&mut stream, &mut BytesMut::new())
            .await
            .map_err(|error| peer_connection::unreachable(to, error))
    }

    async fn open_control_link(&self, to: NodeAddress) -> Result<ControlLink> {
        if self.closed.get() {
            return Err(peer_connection::unreachable(to, "the pool is closed"));
        }
        let (connection, driver) =
            PeerConnection::new(to, self.dial_address(to), self.clock.now(), self.keepalive);
        self.spawn_driver(driver);
        // The driver ends when this handle is dropped, with the link or on an error.
        let close_handle = connection.take_close_handle().map(Rc::new);
        let opened = connection.open_result.clone().await;
        let sender =
            opened.map_err(|_| peer_connection::unreachable(to, "the connection was closed"))??;
        let refused = |error: h2::Error| {
            Error::new(
                ResultCode::HandshakeRefused,
                format!("peer {to} refused the control link: {error}"),
            )
        };
        let mut sender = sender.ready().await.map_err(refused)?;
        let (response, stream) = sender
            .send_request(peer_request::post_request("/control/1"), false)
            .map_err(refused)?;
        let response = time::timeout(CONTROL_OPEN_TIMEOUT, response)
            .await
            .map_err(|_| peer_connection::unreachable(to, "no response within 3 s"))?
            .map_err(refused)?;
        let receiver = response.into_body();
        Ok(ControlLink::new(
            stream,
            receiver,
            &connection.counter,
            close_handle,
        ))
    }
}

impl PeerCaller for PeerPool {
    fn call(
        &self,
        to: NodeAddress,
        header: CallHeader,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<(CallResponseHeader, Bytes)>> {
        self.send_call(to, header, body).boxed_local()
    }

    fn fence(
        &self,
        to: NodeAddress,
        request: FenceRequest,
        timeout: ClockTime,
    ) -> LocalBoxFuture<'_, Result<FenceResponse>> {
        async move {
            let result = time::timeout(timeout.to_duration(), self.send_fence(to, request)).await;
            result.unwrap_or_else(|_| Err(deadline_passed(to, timeout)))
        }
        .boxed_local()
    }

    fn open_control(&self, to: NodeAddress) -> LocalBoxFuture<'_, Result<ControlLink>> {
        self.open_control_link(to).boxed_local()
    }
}

fn deadline_passed(to: NodeAddress, allowed: ClockTime) -> Error {
    Error::new(
        ResultCode::DeadlinePassed,
        format!("no answer from {to} within {allowed}"),
    )
}
