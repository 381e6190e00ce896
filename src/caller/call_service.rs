use std::rc::Rc;
use std::str::FromStr;

use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::call::{CallHandler, CallRequest, CallResponse};
use crate::caller::{RequestService, is_hop_by_hop_header};
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};

/// Request headers that are parsed into fields of a call request.
const CALL_HEADERS: [&str; 6] = [
    "x-deadline-ms",
    "idempotency-key",
    "x-first-attempt-age-ms",
    "x-call-depth",
    "x-config-version",
    "x-request-attempt",
];

/// Response headers that only the node sets.
const NODE_HEADERS: [&str; 3] = ["x-outcome", "x-result-code", "retry-after-ms"];

/// Request service that converts between HTTP messages and calls.
pub(crate) struct CallService {
    handler: Rc<dyn CallHandler>,
}

impl CallService {
    pub(crate) fn new(handler: Rc<dyn CallHandler>) -> Self {
        Self { handler }
    }
}

impl RequestService for CallService {
    fn serve(&self, request: http::Request<Bytes>) -> LocalBoxFuture<'_, http::Response<Bytes>> {
        async move {
            let call_response = match to_call(request) {
                Ok(call) => self.handler.handle(call).await,
                Err(error) => CallResponse::from_error(&error),
            };
            to_response(call_response)
        }
        .boxed_local()
    }
}

fn to_call(request: http::Request<Bytes>) -> Result<CallRequest> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let fields = &parts.headers;
    let mut headers = Vec::with_capacity(fields.len());
    for (name, value) in fields {
        let name = name.as_str();
        if is_hop_by_hop_header(name, fields) || CALL_HEADERS.contains(&name) {
            continue;
        }
        let value = value
            .to_str()
            .map_err(|_| malformed_header(name, "is not visible ASCII"))?;
        headers.push((name.to_owned(), value.to_owned()));
    }
    Ok(CallRequest {
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers,
        body,
        remaining: parse_number(fields, "x-deadline-ms")?.map(ClockTime),
        key: parse_field(fields, "idempotency-key")?,
        first_attempt_age: parse_number(fields, "x-first-attempt-age-ms")?.map(ClockTime),
        depth: parse_number(fields, "x-call-depth")?.unwrap_or(0),
        attempt: parse_number(fields, "x-request-attempt")?.unwrap_or(0),
        stamp: parse_field(fields, "x-config-version")?,
    })
}

/// Converts a call response to an HTTP response, without hop-by-hop headers.
pub(crate) fn to_response(call_response: CallResponse) -> http::Response<Bytes> {
    let mut headers = HeaderMap::with_capacity(call_response.headers.len() + 3);
    for (name, value) in &call_response.headers {
        let lower = name.to_ascii_lowercase();
        if is_hop_by_hop_header(&lower, &HeaderMap::new()) || NODE_HEADERS.contains(&lower.as_str())
        {
            continue;
        }
        match (HeaderName::from_str(&lower), HeaderValue::from_str(value)) {
            (Ok(name), Ok(value)) => {
                headers.append(name, value);
            }
            _ => log::warn!("omitted invalid response header `{lower}`"),
        }
    }
    let outcome = call_response.code.outcome().to_string();
    if let Ok(value) = HeaderValue::from_str(&outcome) {
        headers.insert("x-outcome", value);
    }
    headers.insert(
        "x-result-code",
        HeaderValue::from(call_response.code.number()),
    );
    if let Some(delay) = call_response.retry_after {
        headers.insert("retry-after-ms", HeaderValue::from(delay.0));
    }
    let mut response = http::Response::new(call_response.body);
    // A 1xx status cannot be the final status of a response.
    *response.status_mut() = StatusCode::from_u16(call_response.status)
        .ok()
        .filter(|status| !status.is_informational())
        .unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

fn parse_number<Number>(headers: &HeaderMap, name: &str) -> Result<Option<Number>>
where
    Number: FromStr,
{
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    // The `FromStr` implementation of integers accepts a leading plus sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(malformed_header(name, "is not a number"));
    }
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(malformed_header(name, "is not a number in range")),
    }
}

fn parse_field<Field>(headers: &HeaderMap, name: &str) -> Result<Option<Field>>
where
    Field: FromStr,
{
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(field) => Ok(Some(field)),
        Err(_) => Err(malformed_header(name, "is malformed")),
    }
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed_header(name, "is given twice"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(malformed_header(name, "is not visible ASCII")),
    }
}

fn malformed_header(name: &str, problem: &str) -> Error {
    Error::new(
        ResultCode::MalformedRequest,
        format!("header `{name}` {problem}"),
    )
}
