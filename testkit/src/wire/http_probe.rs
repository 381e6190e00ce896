use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::wire::{BlockingClient, HttpResponse};

/// HTTP client for one address that opens a new connection for each request.
#[derive(Debug, Clone, Copy)]
pub struct HttpProbe {
    address: SocketAddr,
    timeout: Duration,
}

impl HttpProbe {
    /// Creates a client with a timeout of 5 s for connecting and for each read and write.
    #[must_use]
    pub fn new(address: SocketAddr) -> HttpProbe {
        HttpProbe::with_timeout(address, 5_000)
    }

    /// Creates a client with the given timeout for connecting and for each read and write.
    #[must_use]
    pub fn with_timeout(address: SocketAddr, timeout_ms: u64) -> HttpProbe {
        let timeout = Duration::from_millis(timeout_ms);
        HttpProbe { address, timeout }
    }

    /// Sends a request with headers and a body.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting, a read or a write fails or times out, or if the response is
    /// malformed.
    pub fn call(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<HttpResponse> {
        BlockingClient::connect(self.address, self.timeout)?.call(method, target, headers, body)
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting, a read or a write fails or times out, or if the response is
    /// malformed.
    pub fn get(&self, target: &str) -> io::Result<HttpResponse> {
        self.call("GET", target, &[], &[])
    }

    /// Sends a PUT request.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting, a read or a write fails or times out, or if the response is
    /// malformed.
    pub fn put(&self, target: &str, body: &[u8]) -> io::Result<HttpResponse> {
        self.call("PUT", target, &[], body)
    }

    /// Sends a POST request.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting, a read or a write fails or times out, or if the response is
    /// malformed.
    pub fn post(&self, target: &str, body: &[u8]) -> io::Result<HttpResponse> {
        self.call("POST", target, &[], body)
    }

    /// Repeats a GET request until the response has the given status or `limit_ms` has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if no response with the status was received within `limit_ms`.
    pub fn wait_for(&self, target: &str, status: u16, limit_ms: u64) -> io::Result<HttpResponse> {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let result = self.get(target);
            if let Ok(response) = &result
                && response.status == status
            {
                return result;
            }
            if Instant::now() >= end {
                let last = result.map(|response| response.status);
                let text = format!(
                    "no status {status} from {}{target} within {limit_ms} ms; last result: {last:?}",
                    self.address
                );
                return Err(io::Error::new(io::ErrorKind::TimedOut, text));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}
