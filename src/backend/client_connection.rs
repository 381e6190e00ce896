use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{StatusCode, Version};
use monoio::net::TcpStream;
use monoio::time;

use crate::backend::client_request::ClientRequest;
use crate::caller::{self, BodyLength, WireError, WireStream};
use crate::clock::ClockTime;

/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// Interim answers accepted before the final one.
const INTERIM_LIMIT: usize = 8;

/// Holds one client connection; requests run on it one after the other.
pub(crate) struct ClientConnection {
    stream: WireStream,
    is_proven: bool,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `NotWritten`, because no request byte was sent.
    pub(crate) async fn connect(
        address: SocketAddr,
        timeout: ClockTime,
    ) -> Result<Self, WireError> {
        let connect = TcpStream::connect_addr(address);
        let stream = time::timeout(timeout.to_duration(), connect)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(WireError::NotWritten)?;
        Ok(Self {
            stream: WireStream::new(stream),
            is_proven: false,
        })
    }

    /// Returns true if an answer was received on this connection before.
    pub(crate) fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Returns true if the connection is open and no unexpected bytes have arrived.
    pub(crate) fn is_idle(&mut self) -> bool {
        self.stream.is_idle()
    }

    /// Sends one request and receives its whole answer, and whether the connection can be reused.
    ///
    /// The connection must not be used again after an error.
    ///
    /// # Errors
    ///
    /// `NotWritten` if no byte of the request was sent; any other error means that it may have run.
    pub(crate) async fn exchange(
        &mut self,
        request: ClientRequest,
        body_limit: usize,
    ) -> Result<(http::Response<Bytes>, bool), WireError> {
        let (bytes, is_head) = request.into_bytes();
        self.stream.write(bytes).await?;
        let mut interim = 0;
        let parts = loop {
            let head = self.stream.read_head(HEAD_LIMIT).await?;
            let parts = caller::parse_response(&head).await?;
            if !parts.status.is_informational() {
                break parts;
            }
            interim += 1;
            if parts.status == StatusCode::SWITCHING_PROTOCOLS || interim > INTERIM_LIMIT {
                return Err(WireError::Malformed("unexpected interim answer"));
            }
        };
        let length = caller::body_length(parts.version, &parts.headers)?;
        let bare = is_head
            || parts.status == StatusCode::NO_CONTENT
            || parts.status == StatusCode::NOT_MODIFIED;
        let body = match length {
            _ if bare => Bytes::new(),
            // A body that ends with the connection cannot be told from one that was cut.
            BodyLength::Absent => return Err(WireError::Malformed("answer without a length")),
            length => self.stream.read_body(length, body_limit).await?,
        };
        let reusable = parts.version == Version::HTTP_11
            && !caller::has_connection_token(&parts.headers, "close")
            && self.stream.buffered() == 0;
        self.is_proven = true;
        Ok((http::Response::from_parts(parts, body), reusable))
    }
}
