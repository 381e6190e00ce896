//! Reading and writing the bodies of HTTP/2 streams.

use std::future;

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};
use crate::peer::{CallCodec, FrameCodec};

/// Largest flow-control capacity reserved at once.
const MAX_RESERVED_BYTES: usize = 64 << 10;

/// Largest body that is copied into one buffer with its head.
const MAX_JOINED_BODY_BYTES: usize = 8 << 10;

/// Sends all bytes as the peer grants flow-control capacity, and ends the stream if `end_stream`
/// is set.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_stream: bool,
) -> std::result::Result<(), h2::Error> {
    if bytes.is_empty() && end_stream {
        return stream.send_data(bytes, true);
    }
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len().min(MAX_RESERVED_BYTES));
        let capacity = match future::poll_fn(|context| stream.poll_capacity(context)).await {
            Some(result) => result?,
            None => return Err(h2::Error::from(Reason::STREAM_CLOSED)),
        };
        let chunk = bytes.split_to(capacity.min(bytes.len()));
        let end_of_stream = end_stream && bytes.is_empty();
        if !chunk.is_empty() {
            stream.send_data(chunk, end_of_stream)?;
        }
    }
    Ok(())
}

/// Sends the head and the body of a message and ends the stream.
///
/// A small body shares a DATA frame with its head, which saves one write and one wake-up per call.
pub(crate) async fn send_message(
    stream: &mut SendStream<Bytes>,
    head: Bytes,
    body: Bytes,
) -> std::result::Result<(), h2::Error> {
    if body.len() <= MAX_JOINED_BODY_BYTES {
        let mut joined = BytesMut::from(head);
        joined.extend_from_slice(&body);
        return send_all(stream, joined.freeze(), true).await;
    }
    send_all(stream, head, false).await?;
    send_all(stream, body, true).await
}

/// Appends the next DATA frame of the stream to `buffer`; returns false at the end of the stream.
pub(crate) async fn read_data(
    stream: &mut RecvStream,
    buffer: &mut BytesMut,
) -> std::result::Result<bool, h2::Error> {
    match stream.data().await {
        Some(result) => {
            let data = result?;
            buffer.extend_from_slice(&data);
            stream.flow_control().release_capacity(data.len())?;
            Ok(true)
        }
        None => Ok(false),
    }
}

/// Reads the head of a call at the start of a stream; bytes that follow it stay in `buffer`.
///
/// # Errors
///
/// As for [`read_frame`].
pub(crate) async fn read_head<Message>(
    stream: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Message>
where
    Message: DeserializeOwned,
{
    read_frame::<Message, { CallCodec::LIMIT }>(stream, buffer).await
}

/// Reads a frame with a body of at most `LIMIT` bytes at the start of a stream.
///
/// # Errors
///
/// `PeerProtocol` for an invalid or truncated frame, `ConnectionLost` if the stream failed.
pub(crate) async fn read_frame<Message, const LIMIT: usize>(
    stream: &mut RecvStream,
    buffer: &mut BytesMut,
) -> Result<Message>
where
    Message: DeserializeOwned,
{
    loop {
        if let Some(message) = FrameCodec::<LIMIT>::decode(buffer)? {
            return Ok(message);
        }
        if !read_data(stream, buffer)
            .await
            .map_err(|error| connection_lost(&error))?
        {
            FrameCodec::<LIMIT>::check_complete(buffer)?;
            return Err(Error::new(
                ResultCode::PeerProtocol,
                "the stream has no frame",
            ));
        }
    }
}

/// Reads a body of exactly `length` bytes up to the end of the stream; `buffer` holds the bytes
/// already received.
///
/// # Errors
///
/// `ConnectionLost` if the stream failed or the body has another length.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    mut buffer: BytesMut,
    length: usize,
) -> Result<Bytes> {
    while buffer.len() <= length {
        if !read_data(stream, &mut buffer)
            .await
            .map_err(|error| connection_lost(&error))?
        {
            break;
        }
    }
    if buffer.len() == length {
        return Ok(buffer.freeze());
    }
    Err(Error::new(
        ResultCode::ConnectionLost,
        format!(
            "the body has {} bytes or more instead of {length}",
            buffer.len()
        ),
    ))
}

/// Reads up to the end of the stream, at most `limit` bytes; `buffer` holds the bytes already
/// received.
///
/// # Errors
///
/// `AnswerTooLarge` above the limit, `ConnectionLost` if the stream failed.
pub(crate) async fn read_to_end<Admits>(
    stream: &mut RecvStream,
    mut buffer: BytesMut,
    limit: usize,
    mut admits: Admits,
) -> Result<Bytes>
where
    Admits: FnMut(usize) -> bool,
{
    loop {
        if !admits(buffer.len()) {
            let message = "there is no memory for the body";
            return Err(Error::new(ResultCode::AnswerTooLarge, message));
        }
        if !read_data(stream, &mut buffer)
            .await
            .map_err(|error| connection_lost(&error))?
        {
            break;
        }
        if buffer.len() > limit {
            let message = format!("the body exceeds the limit of {limit} bytes");
            return Err(Error::new(ResultCode::AnswerTooLarge, message));
        }
    }
    Ok(buffer.freeze())
}

/// Converts an HTTP/2 error that occurred after the request was written.
pub(crate) fn connection_lost(error: &h2::Error) -> Error {
    Error::new(
        ResultCode::ConnectionLost,
        format!("the connection was lost: {error}"),
    )
}

/// Converts an HTTP/2 error that was received in place of a response.
///
/// A peer that refuses a stream, or whose GOAWAY frame names a lower last stream, has not processed
/// it (RFC 9113, section 8.7). h2 reports a remote GOAWAY only to streams above that last stream.
pub(crate) fn unprocessed_or_lost(error: &h2::Error) -> Error {
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    if error.is_remote() && (refused || error.is_go_away()) {
        return Error::new(
            ResultCode::PeerUnreachable,
            format!("the peer did not process the stream: {error}"),
        );
    }
    connection_lost(error)
}
