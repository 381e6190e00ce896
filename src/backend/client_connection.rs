use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{StatusCode, Version};
use monoio::net::TcpStream;
use monoio::time;

use crate::backend::client_request::ClientRequest;
use crate::caller::{self, BodyLength, WireError, WireStream};
use crate::clock::ClockTime;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Client connection on which requests run one at a time.
pub(crate) struct ClientConnection {
    stream: WireStream,
    has_received_response: bool,
}

impl ClientConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `NotWritten`, because no part of a request was written.
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
            has_received_response: false,
        })
    }

    /// Returns whether a response has been received on this connection.
    pub(crate) fn has_received_response(&self) -> bool {
        self.has_received_response
    }

    /// Returns whether the connection is open and no unread bytes have arrived.
    pub(crate) fn is_idle(&mut self) -> bool {
        self.stream.is_idle()
    }

    /// Sends one request; returns the complete response and whether the connection can be reused.
    ///
    /// The connection must not be used after an error.
    ///
    /// # Errors
    ///
    /// `NotWritten` if no byte of the request was written; after any other error it may have run.
    pub(crate) async fn exchange(
        &mut self,
        request: ClientRequest,
        body_limit: usize,
    ) -> Result<(http::Response<Bytes>, bool), WireError> {
        let (bytes, is_head) = request.into_bytes();
        self.stream.write(bytes).await?;
        let mut interim_count = 0;
        let parts = loop {
            let head = self.stream.read_head(MAX_HEAD_BYTES).await?;
            let parts = caller::parse_response(&head).await?;
            if !parts.status.is_informational() {
                break parts;
            }
            interim_count += 1;
            if parts.status == StatusCode::SWITCHING_PROTOCOLS
                || interim_count > MAX_INTERIM_RESPONSES
            {
                return Err(WireError::Malformed("unexpected interim answer"));
            }
        };
        let length = caller::body_length(parts.version, &parts.headers)?;
        let has_no_body = is_head
            || parts.status == StatusCode::NO_CONTENT
            || parts.status == StatusCode::NOT_MODIFIED;
        let body = match length {
            _ if has_no_body => Bytes::new(),
            // A body delimited by the end of the connection cannot be told from a truncated one.
            BodyLength::Absent => {
                return Err(WireError::Malformed("answer without a length"));
            }
            length => self.stream.read_body(length, body_limit).await?,
        };
        let reusable = parts.version == Version::HTTP_11
            && !caller::has_connection_token(&parts.headers, "close")
            && self.stream.buffered() == 0;
        self.has_received_response = true;
        Ok((http::Response::from_parts(parts, body), reusable))
    }
}
