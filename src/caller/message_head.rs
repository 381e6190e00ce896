use http::{HeaderMap, Version, header};
use monoio::io::stream::Stream;
use monoio_http::h1::codec::decoder::{RequestDecoder, ResponseDecoder};

use crate::caller::WireError;

/// States how the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// No length is given.
    Absent,
    /// The body has this many bytes.
    Fixed(usize),
    /// The body is chunked.
    Chunked,
}

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 10] = [
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

/// Returns true for a header that is not passed on, by its lower-case name.
pub(crate) fn is_hop_by_hop_header(name: &str, headers: &HeaderMap) -> bool {
    HOP_HEADERS.contains(&name) || has_connection_token(headers, name)
}

/// Returns true if the `Connection` header holds the token.
pub(crate) fn has_connection_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Finds how the body ends.
///
/// # Errors
///
/// `Malformed` if two parsers could find different ends.
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
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            match text.parse() {
                Ok(length) if digits => Ok(BodyLength::Fixed(length)),
                _ => Err(WireError::Malformed("malformed Content-Length")),
            }
        }
        (None, Some(encoding)) => {
            let single = encodings.next().is_none() && version == Version::HTTP_11;
            if single && encoding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                Ok(BodyLength::Chunked)
            } else {
                Err(WireError::Malformed("unsupported Transfer-Encoding"))
            }
        }
    }
}

/// Checks the bytes of a head for line ends and folding that parsers treat differently.
///
/// # Errors
///
/// `Malformed` for a bare CR or LF, a NUL byte or obsolete line folding.
pub(crate) fn check_lines(head: &[u8]) -> Result<(), WireError> {
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

/// Parses a whole request head with the codec.
///
/// # Errors
///
/// `Malformed` if the codec refuses it.
pub(crate) async fn parse_request(head: &[u8]) -> Result<http::request::Parts, WireError> {
    check_lines(head)?;
    match RequestDecoder::new(head).next().await {
        Some(Ok(request)) => Ok(request.into_parts().0),
        _ => Err(WireError::Malformed("malformed request head")),
    }
}

/// Parses a whole response head with the codec.
///
/// # Errors
///
/// `Malformed` if the codec refuses it.
pub(crate) async fn parse_response(head: &[u8]) -> Result<http::response::Parts, WireError> {
    check_lines(head)?;
    match ResponseDecoder::new(head).next().await {
        Some(Ok(response)) => Ok(response.into_parts().0),
        _ => Err(WireError::Malformed("malformed response head")),
    }
}
