//! Reads and writes the bodies of h2 streams.

use std::future;

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result, ResultCode};
use crate::peer::{CallCodec, FrameCodec};

/// Longest piece for which capacity is reserved at once, in bytes.
const CHUNK_LENGTH: usize = 64 << 10;

/// Longest body that is copied behind its head, in bytes.
const JOINED_LENGTH: usize = 8 << 10;

/// Sends all bytes as the other side gives capacity for them.
pub(crate) async fn send_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    last: bool,
) -> std::result::Result<(), h2::Error> {
    if bytes.is_empty() && last {
        return stream.send_data(bytes, true);
    }
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len().min(CHUNK_LENGTH));
        let capacity = match future::poll_fn(|context| stream.poll_capacity(context)).await {
            Some(result) => result?,
            None => return Err(h2::Error::from(Reason::STREAM_CLOSED)),
        };
        let piece = bytes.split_to(capacity.min(bytes.len()));
        let end = last && bytes.is_empty();
        if !piece.is_empty() {
            stream.send_data(piece, end)?;
        }
    }
    Ok(())
}

/// Sends the head and the body of a message and ends the stream.
///
/// A small body shares one DATA frame with its head, which saves a write and a wake-up per call.
pub(crate) async fn send_message(
    stream: &mut SendStream<Bytes>,
    head: Bytes,
    body: Bytes,
) -> std::result::Result<(), h2::Error> {
    if body.len() <= JOINED_LENGTH {
        let mut joined = BytesMut::from(head);
        joined.extend_from_slice(&body);
        return send_all(stream, joined.freeze(), true).await;
    }
    send_all(stream, head, false).await?;
    send_all(stream, body, true).await
}

/// Reads the next piece of the stream into `buffer`; returns false at its end.
pub(crate) async fn read_more(
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

/// Reads the head of a call at the start of a stream; what follows it stays in `buffer`.
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

/// Reads a frame of at most `LIMIT` bytes at the start of a stream.
///
/// # Errors
///
/// `PeerProtocol` for an invalid or truncated frame, `ConnectionLost` if the stream broke.
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
        if !read_more(stream, buffer)
            .await
            .map_err(|error| connection_lost(&error))?
        {
            FrameCodec::<LIMIT>::finish(buffer)?;
            return Err(Error::new(
                ResultCode::PeerProtocol,
                "the stream has no frame",
            ));
        }
    }
}

/// Reads the rest of a stream, which must have exactly `length` bytes.
///
/// # Errors
///
/// `ConnectionLost` if the stream broke or has another length.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    mut buffer: BytesMut,
    length: usize,
) -> Result<Bytes> {
    while buffer.len() <= length {
        if !read_more(stream, &mut buffer)
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

/// Reads the rest of a stream, at most `limit` bytes.
///
/// # Errors
///
/// `AnswerTooLarge` above the limit, `ConnectionLost` if the stream broke.
pub(crate) async fn read_to_end(
    stream: &mut RecvStream,
    mut buffer: BytesMut,
    limit: usize,
) -> Result<Bytes> {
    while read_more(stream, &mut buffer)
        .await
        .map_err(|error| connection_lost(&error))?
    {
        if buffer.len() > limit {
            let message = format!("the body has more than {limit} bytes");
            return Err(Error::new(ResultCode::AnswerTooLarge, message));
        }
    }
    Ok(buffer.freeze())
}

/// Maps an error after the request was written.
pub(crate) fn connection_lost(error: &h2::Error) -> Error {
    Error::new(
        ResultCode::ConnectionLost,
        format!("the connection was lost: {error}"),
    )
}

/// Maps an error that came in place of an answer.
///
/// A peer that refuses a stream, or names a lower last stream in GOAWAY, has not processed it
/// (RFC 9113, section 8.7); h2 reports a remote GOAWAY only to streams above the last one.
pub(crate) fn refused_or_lost(error: &h2::Error) -> Error {
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    if error.is_remote() && (refused || error.is_go_away()) {
        return Error::new(
            ResultCode::PeerUnreachable,
            format!("the peer did not process the stream: {error}"),
        );
    }
    connection_lost(error)
}
