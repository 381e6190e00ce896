use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use http::StatusCode;

use crate::backend::HttpClient;
use crate::clock::ClockTime;
use crate::error::{Error, Result, ResultCode};
use crate::platform::{ConfigRead, ConfigSource, InstanceList, InstanceSource};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: ClockTime = ClockTime(1_000);
/// Time limit for a response, in addition to the requested wait.
const RESPONSE_TIMEOUT: ClockTime = ClockTime(2_000);
/// Maximum size in bytes of a value in the configuration service.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum size in bytes of an instance list; 5,500 instances of up to 350 bytes take 1.9 MB.
const MAX_INSTANCE_LIST_BYTES: usize = 4_000_000;

/// HTTP/1.1 client of the configuration service and the instance list.
///
/// Each read opens a new connection, so that a connection that stopped responding is never reused.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    config: HttpClient,
    instances: HttpClient,
}

impl HttpPlatform {
    /// Creates a client from the addresses of the two services.
    #[must_use]
    pub fn new(config: SocketAddr, instances: SocketAddr) -> Self {
        let client = |address, body_limit| HttpClient {
            address,
            connect_timeout: CONNECT_TIMEOUT,
            body_limit,
        };
        Self {
            config: client(config, MAX_VALUE_BYTES),
            instances: client(instances, MAX_INSTANCE_LIST_BYTES),
        }
    }
}

impl ConfigSource for HttpPlatform {
    fn read_manifest(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<ConfigRead>> {
        async move {
            let Some(response) = read(&self.config, "/v1/manifest", after, wait).await? else {
                return Ok(ConfigRead::Unchanged);
            };
            let mut revisions = response.headers().get_all("x-revision").iter();
            let revision = revisions
                .next()
                .and_then(|value| value.to_str().ok())
                .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
                .and_then(|text| text.parse().ok());
            match (revision, revisions.next()) {
                (Some(revision), None) => Ok(ConfigRead::Value {
                    revision,
                    bytes: response.into_body(),
                }),
                _ => Err(invalid_response(
                    "header `x-revision` is missing, repeated or not a number",
                )),
            }
        }
        .boxed_local()
    }
}

impl InstanceSource for HttpPlatform {
    fn read_instances(
        &self,
        after: Option<u64>,
        wait: ClockTime,
    ) -> LocalBoxFuture<'_, Result<Option<InstanceList>>> {
        async move {
            let Some(response) = read(&self.instances, "/v1/instances", after, wait).await? else {
                return Ok(None);
            };
            serde_json::from_slice(response.body())
                .map(Some)
                .map_err(|error| invalid_response(&format!("invalid instance list: {error}")))
        }
        .boxed_local()
    }
}

/// Sends one request and returns `None` if the resource has not changed.
async fn read(
    client: &HttpClient,
    path: &str,
    after: Option<u64>,
    wait: ClockTime,
) -> Result<Option<http::Response<Bytes>>> {
    let path = match after {
        Some(after) => format!("{path}?after={after}&wait_ms={}", wait.0),
        None => format!("{path}?wait_ms={}", wait.0),
    };
    let response = client
        .get_from_platform(&path, wait + RESPONSE_TIMEOUT)
        .await?;
    match response.status() {
        StatusCode::OK => Ok(Some(response)),
        StatusCode::NOT_MODIFIED => Ok(None),
        status if status.is_server_error() => Err(Error::new(
            ResultCode::PlatformUnreachable,
            format!("platform at {} answered {status}", client.address),
        )),
        status => Err(invalid_response(&format!(
            "platform answered with unexpected status {status}"
        ))),
    }
}

fn invalid_response(message: &str) -> Error {
    Error::new(ResultCode::PlatformInvalid, message)
}
