//! Parses the head of a client request.

use bytes::Bytes;
use http::{Method, Version, header};

use crate::caller::{self, BodyLength, WireError};
use crate::clock::ClockTime;
use crate::sidecar::HeaderNames;
use crate::sidecar::forward_message::HeaderFields;

/// The parsed head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) host: String,
    pub(crate) id: Option<String>,
    /// Time that the client still waits, from the arrival of the head.
    pub(crate) remaining_time: Option<ClockTime>,
    pub(crate) headers: HeaderFields,
    pub(crate) length: BodyLength,
    pub(crate) keep_alive: bool,
    pub(crate) expects_continue: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Parses a complete request head.
///
/// # Errors
///
/// `Malformed` if the head is invalid, or ambiguous so that another parser could read it
/// differently.
pub(crate) async fn parse(head: &Bytes, names: &HeaderNames) -> Result<RequestHead, WireError> {
    let parts = caller::parse_request(head).await?;
    let length = caller::body_length(parts.version, &parts.headers)?;
    let target = request_target(head)?;
    let host = single_host(&parts.headers)?;
    let expects_continue = match parts.headers.get(header::EXPECT) {
        None => false,
        Some(value) if value.as_bytes().eq_ignore_ascii_case(b"100-continue") => true,
        Some(_) => return Err(WireError::Malformed("unsupported Expect header")),
    };
    let text = |name| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let remaining_time = text(&names.remaining_time)
        .and_then(|text| text.trim().parse().ok())
        .map(ClockTime);
    Ok(RequestHead {
        keep_alive: parts.version == Version::HTTP_11
            && !caller::has_connection_token(&parts.headers, "close"),
        id: text(&names.request_id),
        remaining_time,
        headers: forwarded_headers(&parts.headers, names),
        method: parts.method,
        target,
        host,
        length,
        expects_continue,
    })
}

/// Returns the request target exactly as received.
fn request_target(head: &Bytes) -> Result<String, WireError> {
    let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
    let mut parts = line.split(|byte| *byte == b' ');
    let target = parts.nth(1).unwrap_or_default();
    let version = parts.next();
    if parts.next().is_some() || version.is_none() || !target.starts_with(b"/") {
        return Err(WireError::Malformed("request target is not a path"));
    }
    String::from_utf8(target.to_vec())
        .map_err(|_| WireError::Malformed("request target is not valid UTF-8"))
}

/// Returns the host in lower case and without its port.
fn single_host(headers: &http::HeaderMap) -> Result<String, WireError> {
    let mut hosts = headers.get_all(header::HOST).iter();
    let host = hosts.next().and_then(|value| value.to_str().ok());
    let Some(host) = host.filter(|_| hosts.next().is_none()) else {
        return Err(WireError::Malformed("expected exactly one Host header"));
    };
    let name = host.split(':').next().unwrap_or_default();
    Ok(name.to_ascii_lowercase())
}

/// Returns the headers to forward, without hop-by-hop headers and those that nodes set themselves.
fn forwarded_headers(headers: &http::HeaderMap, names: &HeaderNames) -> HeaderFields {
    let node_headers = [
        &names.request_id,
        &names.remaining_time,
        &names.expected_endpoint,
        &names.caller_service,
    ];
    headers
        .iter()
        .filter(|(name, _)| {
            let is_end_to_end =
                *name == header::HOST || !caller::is_hop_by_hop_header(name.as_str(), headers);
            is_end_to_end && !node_headers.contains(name)
        })
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
