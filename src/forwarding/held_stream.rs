//! Forwarded requests whose bodies are sent when the endpoint has room for them.

use std::rc::Rc;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either, FutureExt, LocalBoxFuture};
use h2::{RecvStream, SendStream};
use http::Response;
use monoio::time;

use crate::error::Result;
use crate::held_body::{BodySupply, FETCH_TIMEOUT, HeldBody, RequestBody};
use crate::peer::{HeldReply, stream_io};
use crate::sidecar::forward_handler::{
    ForwardStream, REQUEST_TIMEOUT, RESPONSE_TIMEOUT, too_slow, unread_response,
};
use crate::sidecar::forward_message::{
    ForwardCodec, ForwardRequestHeader, ForwardResponse, ForwardResponseHeader,
    MAX_FORWARD_HEADER_BYTES,
};

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

impl ForwardStream {
    /// Runs a request whose body is asked for when it has a slot.
    pub(crate) async fn forward_held(&mut self, mut stream: RecvStream) -> Result<()> {
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
}
