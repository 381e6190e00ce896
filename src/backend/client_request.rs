use std::fmt::Display;

use http::{HeaderName, HeaderValue, Method, Uri};

use crate::error::{Error, Result, ResultCode};

/// Encoder of an HTTP/1.1 request that validates each part.
pub(crate) struct ClientRequest {
    bytes: Vec<u8>,
    is_head: bool,
}

impl ClientRequest {
    /// Starts a request with its request line.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` if the method or the path is not valid in a request line.
    pub(crate) fn new(method: &str, path: &str) -> Result<Self> {
        let valid = Method::from_bytes(method.as_bytes()).is_ok()
            && path.starts_with('/')
            && path.parse::<Uri>().is_ok();
        if !valid {
            return Err(malformed("invalid method or path"));
        }
        Ok(Self {
            bytes: format!("{method} {path} HTTP/1.1\r\n").into_bytes(),
            is_head: method == "HEAD",
        })
    }

    /// Adds a header.
    ///
    /// # Errors
    ///
    /// `MalformedRequest` if the name or the value is not valid in a head.
    pub(crate) fn header<Value>(&mut self, name: &str, value: Value) -> Result<()>
    where
        Value: Display,
    {
        let value = value.to_string();
        let valid = HeaderName::from_bytes(name.as_bytes()).is_ok()
            && HeaderValue::from_str(&value).is_ok();
        if !valid {
            return Err(malformed("invalid request header"));
        }
        self.bytes
            .extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        Ok(())
    }

    /// Completes the head and adds the body.
    pub(crate) fn body(&mut self, body: &[u8]) {
        let length = format!("content-length: {}\r\n\r\n", body.len());
        self.bytes.extend_from_slice(length.as_bytes());
        self.bytes.extend_from_slice(body);
    }

    /// Returns the encoded request and whether it is a HEAD request, whose response has no body.
    pub(crate) fn into_bytes(self) -> (Vec<u8>, bool) {
        (self.bytes, self.is_head)
    }
}

fn malformed(message: &str) -> Error {
    Error::new(ResultCode::MalformedRequest, message)
}
