//! Construction of requests to peers and reading of their responses.

use bytes::{Bytes, BytesMut};
use h2::SendStream;
use h2::client::ResponseFuture;
use http::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result, ResultCode};
use crate::peer::CallResponseHeader;
use crate::peer::stream_io;

/// Reads the complete response to a call, whose body may have at most `limit` bytes.
///
/// # Errors
///
/// `PeerUnreachable` if the peer did not process the stream, `AnswerTooLarge` above the limit,
/// `ConnectionLost` for any other failure to receive a complete response.
pub(crate) async fn read_call_response(
    response: ResponseFuture,
    limit: usize,
) -> Result<(CallResponseHeader, Bytes)> {
    let response = response
        .await
        .map_err(|error| stream_io::unprocessed_or_lost(&error))?;
    check_status(response.status())?;
    let mut stream = response.into_body();
    let mut buffer = BytesMut::new();
    let header: CallResponseHeader = stream_io::read_head(&mut stream, &mut buffer)
        .await
        .map_err(|error| Error::new(ResultCode::ConnectionLost, error.message()))?;
    if header.body_length > limit as u64 {
        return Err(Error::new(
            ResultCode::AnswerTooLarge,
            format!("the answer has {} bytes", header.body_length),
        ));
    }
    let length = header.body_length as usize;
    let body = stream_io::read_body(&mut stream, buffer, length).await?;
    Ok((header, body))
}

/// Reads a response that consists of a head in a frame of at most `LIMIT` bytes and of a body of at
/// most `limit` bytes, which ends with the stream. `admits` decides whether the bytes of the body may be
/// held as it grows.
///
/// # Errors
///
/// As for [`read_call_response`].
pub(crate) async fn read_response<Head, Admits, const LIMIT: usize>(
    response: ResponseFuture,
    limit: usize,
    admits: Admits,
) -> Result<(Head, Bytes)>
where
    Head: DeserializeOwned,
    Admits: FnMut(usize) -> bool,
{
    let response = response
        .await
        .map_err(|error| stream_io::unprocessed_or_lost(&error))?;
    check_status(response.status())?;
    let mut stream = response.into_body();
    let mut buffer = BytesMut::new();
    let head = stream_io::read_frame::<Head, LIMIT>(&mut stream, &mut buffer)
        .await
        .map_err(|error| Error::new(ResultCode::ConnectionLost, error.message()))?;
    let body = stream_io::read_to_end(&mut stream, buffer, limit, admits).await?;
    Ok((head, body))
}

/// A frame of the response to a request whose body is held back.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum HeldReply<Head> {
    /// The sender is to send the body.
    SendBody,
    /// The response, whose body follows.
    Final(Head),
}

/// Sends the body of a request when the peer asks for it, and reads the response as [`read_response`] does.
///
/// # Errors
///
/// As for [`read_call_response`].
pub(crate) async fn exchange_held<Head, Admits, const LIMIT: usize>(
    response: ResponseFuture,
    sending: &mut SendStream<Bytes>,
    body: Bytes,
    limit: usize,
    admits: Admits,
) -> Result<(Head, Bytes)>
where
    Head: DeserializeOwned,
    Admits: FnMut(usize) -> bool,
{
    let response = response
        .await
        .map_err(|error| stream_io::unprocessed_or_lost(&error))?;
    check_status(response.status())?;
    let mut stream = response.into_body();
    let mut buffer = BytesMut::new();
    let lost = |error: Error| Error::new(ResultCode::ConnectionLost, error.message());
    let mut reply = stream_io::read_frame::<HeldReply<Head>, LIMIT>(&mut stream, &mut buffer)
        .await
        .map_err(lost)?;
    if matches!(reply, HeldReply::SendBody) {
        // The peer may respond before it has read the whole body.
        if let Err(error) = stream_io::send_all(sending, body, true).await {
            log::debug!("the body of a held request was not sent completely: {error}");
        }
        reply = stream_io::read_frame::<HeldReply<Head>, LIMIT>(&mut stream, &mut buffer)
            .await
            .map_err(lost)?;
    }
    let HeldReply::Final(head) = reply else {
        let message = "the peer asked for the body twice";
        return Err(Error::new(ResultCode::ConnectionLost, message));
    };
    let body = stream_io::read_to_end(&mut stream, buffer, limit, admits).await?;
    Ok((head, body))
}

/// Creates a POST request to a peer's path.
pub(crate) fn post_request(path: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    // h2 requires an authority; nodes ignore it.
    *request.uri_mut() = http::Uri::builder()
        .scheme("http")
        .authority("node")
        .path_and_query(path)
        .build()
        .unwrap_or_default();
    request
}

fn check_status(status: StatusCode) -> Result<()> {
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(Error::new(
        ResultCode::ConnectionLost,
        format!("the peer answered with status {status}"),
    ))
}

/// Creates the error of a call whose deadline passed before it was written.
pub(crate) fn deadline_too_short() -> Error {
    Error::new(
        ResultCode::DeadlineTooShort,
        "the remaining time elapsed before the call was written",
    )
}
