use std::net::SocketAddr;

use bytes::Bytes;
use monoio::time;

use crate::backend::client_connection::ClientConnection;
use crate::backend::client_request::ClientRequest;
use crate::caller::WireError;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::size::ByteSize;

/// HTTP/1.1 client that sends each request on its own connection.
#[derive(Debug, Clone)]
pub struct HttpClient {
    /// Address of the server.
    pub address: SocketAddr,
    /// Time to establish a connection.
    pub connect_timeout: ClockTime,
    /// Maximum size of a response body in bytes.
    pub body_limit: usize,
}

impl HttpClient {
    /// Sends a request without a body and receives the complete response within `timeout` after
    /// connecting.
    ///
    /// # Errors
    ///
    /// The outer error is `MalformedRequest`, in which case nothing was sent; the inner error is
    /// that of the connection.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        timeout: ClockTime,
    ) -> Result<std::result::Result<http::Response<Bytes>, WireError>> {
        let mut request = ClientRequest::new(method, path)?;
        request.header("host", self.address)?;
        request.header("connection", "close")?;
        request.body(&[]);
        Ok(self.exchange(request, timeout).await)
    }

    /// Sends a GET request to the platform and receives the complete response within `timeout`
    /// after connecting.
    ///
    /// # Errors
    ///
    /// `PlatformInvalid` for a malformed or too large response, `PlatformUnreachable` if no
    /// complete response was received.
    pub async fn get_from_platform(
        &self,
        path: &str,
        timeout: ClockTime,
    ) -> Result<http::Response<Bytes>> {
        let result = self.send("GET", path, timeout).await?;
        result.map_err(|error| self.platform_error(&error))
    }

    /// Sends a GET request to the platform like [`HttpClient::get_from_platform`]; returns `None` if
    /// the body of the response exceeds `limit`, without receiving the rest of it.
    ///
    /// # Errors
    ///
    /// As for [`HttpClient::get_from_platform`].
    pub async fn get_small_from_platform(
        &self,
        path: &str,
        timeout: ClockTime,
        limit: ByteSize,
    ) -> Result<Option<http::Response<Bytes>>> {
        let body_limit = usize::try_from(limit.0).unwrap_or(usize::MAX);
        let limited = Self {
            body_limit: body_limit.min(self.body_limit),
            ..self.clone()
        };
        match limited.send("GET", path, timeout).await? {
            Ok(response) => Ok(Some(response)),
            Err(WireError::TooLarge) => Ok(None),
            Err(error) => Err(self.platform_error(&error)),
        }
    }

    fn platform_error(&self, error: &WireError) -> Error {
        let code = if error.is_invalid_message() {
            ResultCode::PlatformInvalid
        } else {
            ResultCode::PlatformUnreachable
        };
        Error::new(code, format!("platform at {}: {error}", self.address))
    }

    async fn exchange(
        &self,
        request: ClientRequest,
        timeout: ClockTime,
    ) -> std::result::Result<http::Response<Bytes>, WireError> {
        let mut connection = ClientConnection::connect(self.address, self.connect_timeout).await?;
        let exchange = connection.exchange(request, self.body_limit);
        let (response, _) = time::timeout(timeout.to_duration(), exchange)
            .await
            .unwrap_or(Err(WireError::TimedOut))?;
        Ok(response)
    }
}
