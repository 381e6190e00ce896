//! Calls of an HTTP backend in tests.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use endivelanding::backend::{BackendServer, HttpBackend};
use endivelanding::call::CallRequest;
use endivelanding::clock::ClockTime;
use endivelanding::error::ResultCode;
use endivelanding::size::ByteSize;

pub const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

pub fn backend(address: SocketAddr, connections: usize) -> HttpBackend {
    HttpBackend::new(address, ClockTime(500), connections, ByteSize(1_000))
}

pub fn request(path: &str, body: &'static str) -> CallRequest {
    CallRequest {
        method: "POST".to_owned(),
        path: path.to_owned(),
        headers: vec![("x-shop".to_owned(), "7".to_owned())],
        body: Bytes::from(body),
        remaining: None,
        key: Some("key-1".parse().unwrap()),
        first_attempt_age: None,
        depth: 3,
        attempt: 1,
        stamp: Some("7-00000000000000000000000000000001".parse().unwrap()),
    }
}

pub async fn run(backend: &dyn BackendServer, path: &str) -> Result<String, ResultCode> {
    match backend
        .run(request(path, "body"), ClockTime(2_000), Rc::new(()))
        .await
    {
        Ok(response) => Ok(String::from_utf8(response.body.to_vec()).unwrap()),
        Err(error) => Err(error.code()),
    }
}
