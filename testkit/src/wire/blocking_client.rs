use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::wire::HttpResponse;

/// HTTP client that sends sequential requests over one persistent connection.
#[derive(Debug)]
pub struct BlockingClient {
    reader: BufReader<TcpStream>,
    address: SocketAddr,
}

impl BlockingClient {
    /// Opens a connection; the timeout applies to connecting and to every read and write.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be opened.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<BlockingClient> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(BlockingClient {
            reader: BufReader::new(stream),
            address,
        })
    }

    /// Sets the timeout of subsequent reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the timeout is zero.
    pub fn set_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.reader.get_ref().set_read_timeout(Some(timeout))
    }

    /// Returns whether the peer has neither closed the connection nor sent unsolicited bytes.
    #[must_use]
    pub fn is_open(&self) -> bool {
        let stream = self.reader.get_ref();
        let mut byte = [0];
        let peeked = stream
            .set_nonblocking(true)
            .and_then(|()| stream.peek(&mut byte));
        let idle = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        stream.set_nonblocking(false).is_ok() && idle
    }

    /// Sends a request and reads the complete response; adds a `host` header with the address if
    /// there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed, times out or yields a malformed response; the
    /// connection cannot be used afterwards.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<HttpResponse> {
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "host") {
            text.push_str(&format!("host: {}\r\n", self.address));
        }
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            text.push_str(&format!("content-length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        HttpResponse::read(&mut self.reader)
    }
}
