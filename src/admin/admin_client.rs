use std::net::SocketAddr;

use http::header;

use crate::admin::AdminPage;
use crate::backend::HttpClient;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::size::ByteSize;

/// Client for the admin pages of nodes.
#[derive(Debug, Clone)]
pub struct AdminClient {
    timeout: ClockTime,
    page_limit: ByteSize,
}

impl AdminClient {
    /// Creates a client whose `timeout` applies to the connection and again to the response.
    #[must_use]
    pub fn new(timeout: ClockTime, page_limit: ByteSize) -> Self {
        Self {
            timeout,
            page_limit,
        }
    }

    /// Reads the page at `path`, which may include a query, and returns it whatever its status is.
    ///
    /// # Errors
    ///
    /// Returns `PeerUnreachable` if the node does not answer, `PeerProtocol` if its response is
    /// malformed or too large, and `MalformedRequest` if the path is invalid.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<AdminPage> {
        let client = HttpClient {
            address,
            connect_timeout: self.timeout,
            body_limit: self.page_limit.0 as usize,
        };
        let response = client.send("GET", path, self.timeout).await?;
        let response = response.map_err(|error| {
            let code = if error.is_invalid_message() {
                ResultCode::PeerProtocol
            } else {
                ResultCode::PeerUnreachable
            };
            Error::new(code, format!("admin server at {address}: {error}"))
        })?;
        let content_type = response
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        Ok(AdminPage {
            status: response.status().as_u16(),
            content_type,
            body: response.into_body(),
        })
    }
}
