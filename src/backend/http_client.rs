use std::net::SocketAddr;

use bytes::Bytes;
use monoio::time;

use crate::backend::client_connection::ClientConnection;
use crate::backend::client_request::ClientRequest;
use crate::caller::WireError;
use crate::clock::ClockTime;
use crate::error::Result;

/// Sends single requests, each on a connection of its own.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    /// Address of the server.
    pub(crate) address: SocketAddr,
    /// Time to open a connection.
    pub(crate) connect_timeout: ClockTime,
    /// Largest body of an answer, in bytes.
    pub(crate) body_limit: usize,
}

impl HttpClient {
    /// Sends a request without a body and receives the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// The outer error is `MalformedRequest`, with nothing sent; the inner one is that of the
    /// connection.
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
