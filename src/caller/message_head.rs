use http::{HeaderMap, Version, header};
use monoio::io::stream::Stream;
use monoio_http::h1::codec::decoder::{RequestDecoder, ResponseDecoder};

use crate::caller::WireError;

/// Framing of a message body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// The head declares no length.
    Absent,
    /// The body has this many bytes.
    Fixed(usize),
    /// The body uses chunked transfer encoding.
    Chunked,
}

/// Hop-by-hop headers, which apply to one connection and are not forwarded. `Content-Length` and
/// `Expect` are among them because each hop processes its own.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether the header with this lower-case name is hop-by-hop, by itself or because the
/// `Connection` header names it.
pub(crate) fn is_hop_by_hop_header(name: &str, headers: &HeaderMap) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name) || has_connection_token(headers, name)
}

/// Returns whether the `Connection` header contains the token.
pub(crate) fn has_connection_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Determines the framing of the body.
///
/// # Errors
///
/// `Malformed` if parsers could disagree about the end of the body.
pub(crate) fn body_length(version: Version, headers: &HeaderMap) -> Result<BodyLength, WireError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let length = lengths.next();
    let encoding = encodings.next();
    if lengths.next().is_some() {
        return Err(WireError::Malformed("several Content-Length headers"));
    }
    match (length, encoding) {
        (None, None) => Ok(BodyLength::Absent),
        (Some(_), Some(_)) => Err(WireError::Malformed(
            "Content-Length together with Transfer-Encoding",
        )),
        (Some(length), None) => {
            let text = length.to_str().unwrap_or_default();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            match text.parse() {
                Ok(length) if is_number => Ok(BodyLength::Fixed(length)),
                _ => Err(WireError::Malformed("malformed Content-Length")),
            }
        }
        (None, Some(encoding)) => {
            let is_single = encodings.next().is_none() && version == Version::HTTP_11;
            if is_single && encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                Ok(BodyLength::Chunked)
            } else {
                Err(WireError::Malformed("unsupported Transfer-Encoding"))
            }
        }
    }
}

/// Rejects line ends and line folding in a head that parsers interpret differently.
///
/// # Errors
///
/// `Malformed` for a bare CR or LF, a NUL byte or obsolete line folding.
pub(crate) fn check_line_ends(head: &[u8]) -> Result<(), WireError> {
    let mut previous = 0;
    for (index, byte) in head.iter().enumerate() {
        let next = head.get(index + 1).copied();
        match byte {
            0 => return Err(WireError::Malformed("NUL byte in the head")),
            b'\r' if next != Some(b'\n') => {
                return Err(WireError::Malformed("bare CR in the head"));
            }
            b'\n' if previous != b'\r' => return Err(WireError::Malformed("bare LF in the head")),
            b'\n' if matches!(next, Some(b' ' | b'\t')) => {
                return Err(WireError::Malformed("obsolete line folding"));
            }
            _ => {}
        }
        previous = *byte;
    }
    Ok(())
}

/// Parses a complete request head.
///
/// # Errors
///
/// `Malformed` if the head is invalid.
pub(crate) async fn parse_request(head: &[u8]) -> Result<http::request::Parts, WireError> {
    check_line_ends(head)?;
    match RequestDecoder::new(head).next().await {
        Some(Ok(request)) => Ok(request.into_parts().0),
        _ => Err(WireError::Malformed("malformed request head")),
    }
}

/// Parses a complete response head.
///
/// # Errors
///
/// `Malformed` if the head is invalid or its status is not one of the protocol.
pub(crate) async fn parse_response(head: &[u8]) -> Result<http::response::Parts, WireError> {
    check_line_ends(head)?;
    let parts = match ResponseDecoder::new(head).next().await {
        Some(Ok(response)) => response.into_parts().0,
        _ => return Err(WireError::Malformed("malformed response head")),
    };
    // The decoder accepts any number of three digits from 100 on.
    match parts.status.as_u16() {
        101 => Err(WireError::Malformed("unrequested switch of protocols")),
        100..=599 => Ok(parts),
        _ => Err(WireError::Malformed("status outside 100 to 599")),
    }
}
